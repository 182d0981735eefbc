/* At-most-once handover of one non-idempotent request (design section 5).
 *
 * Call 0 arrives at entry 0. The caller may repeat the request as call 1 at
 * entry 1 at any time, also while call 0 is in progress. Each claim goes to a
 * different guard: attempt 1 of entry 0 is claim 1, its attempt 2 is claim 2;
 * those of entry 1 are claims 3 and 4. An entry that pauses or crashes
 * takes no step. A write to the table takes effect immediately, late or never,
 * and its answer may be lost. A handover arrives immediately, late or never.
 */
#define CLAIMS 5 /* index 0 is not used */

/* invariant at_most_once (G5): the request runs at most once. */
bool at_most_once;
/* invariant not_run_is_true (G4): a caller that is told "not run" by its last
 * call has a request that has not run and will not run. */
bool not_run_is_true;
/* invariant answer_is_own (G3): an answer that a caller receives is the answer
 * to its own request, which ran. */
bool answer_is_own;

/* mutant CLAIM_UNCONDITIONAL breaks at_most_once: the claim is written without
 * the condition of absence. */
/* mutant HANDOVER_UNCERTAIN breaks at_most_once: an entry hands over although
 * it does not know whether its update of the attempt took effect. */
/* mutant UPDATE_UNCONDITIONAL breaks at_most_once: the next attempt is written
 * without the condition on the row that was read. */
/* mutant NEVER_NOT_RECORDED breaks at_most_once: a guard answers "never"
 * without refusing the attempt from then on. */
/* mutant RESTART_IS_NEVER breaks at_most_once: an entry takes another
 * incarnation of the guard as proof that the attempt did not run. */
/* mutant NO_INCARNATION breaks at_most_once: a restarted guard accepts a
 * handover that was addressed to its previous process. */
/* mutant SEND_TWICE breaks at_most_once: an entry repeats a handover and takes
 * the refusal of the repetition as proof. */
/* mutant NEVER_AFTER_EVICTION breaks at_most_once: a guard answers "never" for
 * an attempt that it may have forgotten. */
/* mutant ACCEPT_OLD breaks at_most_once: a guard accepts a handover whose
 * deadline has passed, although it may have forgotten the refusal. */
/* mutant FORGET_REFUSAL breaks at_most_once: a guard evicts the refusal of a
 * handover that may still arrive in time. */
/* mutant NOT_RUN_FOR_REPEAT breaks not_run_is_true: an entry that cannot read
 * the row answers "not run" also to a call that may be a repetition. */
/* mutant NOT_RUN_AFTER_CLAIM breaks not_run_is_true: an entry whose claim is
 * uncertain answers "not run" also to a call that may be a repetition. */
/* mutant HANDOVER_AFTER_ANSWER breaks not_run_is_true: an entry uses its claim
 * after it answered "not run". */
/* mutant NO_ANSWER_CHECK breaks answer_is_own: an entry passes on an answer
 * without comparing its request id and digest. */

mtype = { absent, claimed, done, unknown };               /* ledger row */
mtype row = absent;
byte row_claim;
bool claimed_once[CLAIMS];

mtype = { idle, reading, inserting, uncertain, holding, sent, resolving,
          proven, updating, update_uncertain, ended };    /* entry */
mtype step[2] = idle;
byte claim[2];             /* claim that the entry holds or resolves */
bool knows[2];             /* the entry has seen a claim */
bool told_not_run[2];
bool insert_pending[2];    /* a write that may still take effect */
bool update_pending[2];

/* Claims and the guards that they are addressed to. */
bool in_flight[CLAIMS];
bool handed_over[CLAIMS];
bool ran[CLAIMS];
bool refused[CLAIMS];    /* recorded by the guard: will not run */
bool no_place[CLAIMS];   /* the guard's refusal is in transit to the entry */
bool old[CLAIMS];        /* its deadline has passed at the guard */
bool forgotten[CLAIMS];
bool restarted[CLAIMS];  /* the guard has another incarnation */
byte runs;

#define first(e) (e == 0)  /* call 0 says Request-First-Attempt: true */
#define is_first_attempt(c) (c % 2 == 1)
#define own_claim(e, n) (2 * e + n)
#define row_is(c) (row == claimed && row_claim == c)

inline write_claim(c) {
  row = claimed; row_claim = c; claimed_once[c] = true
}

inline answer_not_run(e) {
  told_not_run[e] = true; step[e] = ended;
  assert(not_run_is_true || !ran[1] && !ran[2]);
  assert(not_run_is_true || e == 0 || !ran[3] && !ran[4])
}

inline answer_unknown(e) {
  step[e] = ended
}

inline answer_result(e) {
  step[e] = ended;
  assert(answer_is_own || runs > 0)
}

inline run_request(c) {
  ran[c] = true; runs++;
  assert(at_most_once || runs == 1);
  assert(not_run_is_true || !told_not_run[1] && (c > 2 || !told_not_run[0]))
}

inline apply_insert(e) {
  insert_pending[e] = false;
  if
  :: row == absent || CLAIM_UNCONDITIONAL -> write_claim(own_claim(e, 1))
  :: else
  fi
}

inline apply_update(e) {
  update_pending[e] = false;
  if
  :: row_is(claim[e]) || UPDATE_UNCONDITIONAL -> write_claim(own_claim(e, 2))
  :: else
  fi
}

#define entry_events(e) \
  :: d_step { step[e] == idle && (e == 0 || step[0] != idle) -> \
       step[e] = reading } \
  :: d_step { step[e] == reading && row == absent -> step[e] = inserting } \
  :: d_step { step[e] == reading && row == claimed -> \
       step[e] = resolving; claim[e] = row_claim; knows[e] = true } \
  :: d_step { step[e] == reading && row == done -> answer_result(e) } \
  :: d_step { step[e] == reading && row == unknown -> answer_unknown(e) } \
  :: d_step { step[e] == reading && !knows[e] && \
              (first(e) || NOT_RUN_FOR_REPEAT) -> \
       answer_not_run(e) } \
  :: d_step { step[e] == reading -> answer_unknown(e) } \
  :: d_step { step[e] == inserting -> \
       insert_pending[e] = true; step[e] = uncertain } \
  :: d_step { insert_pending[e] -> apply_insert(e) } \
  :: d_step { insert_pending[e] -> insert_pending[e] = false } \
  :: d_step { (step[e] == uncertain || HANDOVER_AFTER_ANSWER && \
               step[e] == ended && told_not_run[e]) && \
              row_is(own_claim(e, 1)) && !handed_over[own_claim(e, 1)] -> \
       claim[e] = own_claim(e, 1); knows[e] = true; step[e] = holding } \
  :: d_step { step[e] == uncertain && row != absent && \
              !row_is(own_claim(e, 1)) -> \
       step[e] = reading; knows[e] = true } \
  :: d_step { step[e] == uncertain && (first(e) || NOT_RUN_AFTER_CLAIM) -> \
       answer_not_run(e) } \
  :: d_step { step[e] == uncertain && !first(e) -> answer_unknown(e) } \
  :: d_step { step[e] == holding -> step[e] = sent; \
       in_flight[claim[e]] = true; handed_over[claim[e]] = true } \
  :: d_step { step[e] == sent && ran[claim[e]] && \
              !restarted[claim[e]] && row_is(claim[e]) -> \
       row = done; answer_result(e) } \
  :: d_step { step[e] == sent && ran[claim[e]] && \
              !restarted[claim[e]] -> answer_result(e) } \
  :: d_step { step[e] == sent && NO_ANSWER_CHECK -> answer_result(e) } \
  :: d_step { step[e] == sent && no_place[claim[e]] -> step[e] = proven } \
  :: d_step { step[e] == sent -> step[e] = resolving } \
  :: d_step { step[e] == sent && SEND_TWICE -> in_flight[claim[e]] = true } \
  :: d_step { step[e] == resolving && !restarted[claim[e]] && \
              ran[claim[e]] && !forgotten[claim[e]] -> \
       row = (row_is(claim[e]) -> done : row); answer_result(e) } \
  :: d_step { step[e] == resolving && !restarted[claim[e]] && \
              !ran[claim[e]] && !old[claim[e]] && !forgotten[claim[e]] -> \
       refused[claim[e]] = !NEVER_NOT_RECORDED; step[e] = proven } \
  :: d_step { step[e] == resolving && NEVER_AFTER_EVICTION && \
              !restarted[claim[e]] && forgotten[claim[e]] -> \
       step[e] = proven } \
  :: d_step { step[e] == resolving && \
              (restarted[claim[e]] || old[claim[e]] || \
               forgotten[claim[e]]) -> \
       row = (row_is(claim[e]) -> unknown : row); answer_unknown(e) } \
  :: d_step { step[e] == resolving && RESTART_IS_NEVER && \
              restarted[claim[e]] -> step[e] = proven } \
  :: d_step { step[e] == resolving -> answer_unknown(e) } \
  :: d_step { step[e] == proven && is_first_attempt(claim[e]) -> \
       update_pending[e] = true; step[e] = update_uncertain } \
  :: d_step { step[e] == proven -> answer_unknown(e) } \
  :: d_step { update_pending[e] -> apply_update(e) } \
  :: d_step { update_pending[e] -> update_pending[e] = false } \
  :: d_step { step[e] == update_uncertain && \
              (HANDOVER_UNCERTAIN || row_is(own_claim(e, 2))) -> \
       claim[e] = own_claim(e, 2); step[e] = holding } \
  :: d_step { step[e] == update_uncertain && !update_pending[e] && \
              !row_is(own_claim(e, 2)) -> step[e] = reading } \
  :: d_step { step[e] == update_uncertain -> answer_unknown(e) }

/* A handover after its deadline is refused; refusals of handovers that may
 * still arrive are kept until then. Answers may be evicted earlier, because
 * their handover has arrived and is sent only once. */
#define accepts(c) (!refused[c] && (NO_INCARNATION || !restarted[c]) && \
  (ACCEPT_OLD || !old[c]) && (!ran[c] || forgotten[c] || restarted[c]))

#define guard_events(c) \
  :: d_step { in_flight[c] && accepts(c) -> \
       in_flight[c] = false; run_request(c) } \
  :: d_step { in_flight[c] -> in_flight[c] = false; \
       no_place[c] = no_place[c] || !ran[c] || restarted[c] && SEND_TWICE; \
       refused[c] = refused[c] || !ran[c] }

/* Restart of the guard, passing of time, and eviction from its memory. */
#define guard_losses(c) \
  :: d_step { claimed_once[c] && !restarted[c] -> \
       restarted[c] = true; refused[c] = false } \
  :: d_step { claimed_once[c] && !old[c] -> old[c] = true } \
  :: d_step { (old[c] || ran[c] || FORGET_REFUSAL) && !forgotten[c] -> \
       forgotten[c] = true; refused[c] = false }

active proctype events() {
  do
  entry_events(0)
  entry_events(1)
  guard_events(1)
  guard_events(2)
  guard_events(3)
  guard_events(4)
  guard_losses(1)
  guard_losses(3)
  :: timeout -> break
  od
}
