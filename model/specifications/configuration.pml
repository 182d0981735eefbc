/* Revisions of the configuration (design section 7).
 *
 * Two operators change the same record or two records, each through a
 * different entry. A transaction takes effect immediately, late or never, and
 * its answer may be lost. The data centre consists of entries 0 and 1 and
 * guard 2. A step that is not taken models a pause, a lost message or an outage
 * of the table.
 */
#define PROCESSES 3
#define GUARD 2
#define REVISIONS 4 /* 1 is the initial revision; index 0 is not used */

/* invariant revision_is_unique (G8): no two changes carry one revision. */
bool revision_is_unique;
/* invariant no_lost_update (G8): an accepted change replaces only the
 * version of a record that its operator had read. */
bool no_lost_update;
/* invariant answer_is_true (G8): a change that was reported as accepted is
 * committed, one that was refused is not. */
bool answer_is_true;
/* invariant applied_never_falls (G8): a process never applies a lower revision
 * than it holds. */
bool applied_never_falls;
/* invariant site_never_reverts (G8): once all processes of a data centre have
 * applied a revision, none serves a lower one, also after restarts during an
 * outage. */
bool site_never_reverts;

/* mutant HEAD_UNCONDITIONAL breaks revision_is_unique: the transaction does
 * not depend on the head that the entry read. */
/* mutant RECORD_UNCONDITIONAL breaks no_lost_update: the transaction does not
 * depend on the record's revision that the operator read. */
/* mutant READ_BACK_HEAD breaks answer_is_true: the entry looks for its writer
 * token only in the head, which a later change has overwritten. */
/* mutant REFUSE_UNCERTAIN breaks answer_is_true: the entry reports a change as
 * refused while its transaction may still take effect. */
/* mutant ACCEPT_UNCERTAIN breaks answer_is_true: the entry reports a change as
 * accepted without having read it back. */
/* mutant APPLY_ANY breaks applied_never_falls: a process applies any
 * revision that is pushed to it. */
/* mutant READY_EMPTY breaks site_never_reverts: an entry copies from a process
 * that has no configuration itself. */
/* mutant PUSH_TO_RESTARTED breaks site_never_reverts: a process applies a
 * copy that was sent to its previous incarnation. */

mtype = { idle, prepared, pending, accepted, refused };

byte head = 1;
byte writer[REVISIONS];    /* token in the row of each revision; 0: no row */
byte last[2] = 1;          /* revision of each record */
byte target[2];            /* record that the operator changes */
byte base[2];              /* revision of the record that the operator read */
byte expected[2];          /* head that the entry read */
mtype change[2] = idle;
bool in_transit[2];        /* the transaction may still take effect */
bool committed[2];

byte applied[PROCESSES] = 1; /* 0: no configuration, not ready */
byte pushed[PROCESSES];    /* a copy in transit to this process */
byte in_force;             /* highest revision that all have applied */

inline commit(e) {
  in_transit[e] = false;
  if
  :: (HEAD_UNCONDITIONAL || head == expected[e]) &&
     (RECORD_UNCONDITIONAL || last[target[e]] == base[e]) ->
       assert(no_lost_update || last[target[e]] == base[e]);
       assert(revision_is_unique || writer[expected[e] + 1] == 0);
       head = expected[e] + 1; writer[head] = e + 1;
       last[target[e]] = head;
       assert(answer_is_true || change[e] != refused);
       committed[e] = true
  :: else
  fi
}

inline apply(p, revision) {
  if
  :: revision > applied[p] || APPLY_ANY ->
       assert(applied_never_falls || revision >= applied[p]);
       applied[p] = revision
  :: else
  fi;
  assert(site_never_reverts || applied[p] >= in_force);
  if
  :: applied[0] >= applied[p] && applied[1] >= applied[p] &&
     applied[2] >= applied[p] && applied[p] > in_force ->
       in_force = applied[p]
  :: else
  fi
}

/* The operator reads the record, then the entry reads the head and sends. A
 * refusal by the table, or another token in the row of the revision, proves
 * that the transaction has no effect. */
#define operator_events(e) \
  :: d_step { change[e] == idle -> \
       base[e] = last[0]; change[e] = prepared } \
  :: d_step { change[e] == idle && e == 1 -> \
       target[e] = 1; base[e] = last[1]; change[e] = prepared } \
  :: d_step { change[e] == prepared -> expected[e] = head; \
       in_transit[e] = true; change[e] = pending } \
  :: d_step { in_transit[e] -> commit(e) } \
  :: d_step { in_transit[e] -> in_transit[e] = false } \
  :: d_step { change[e] == pending && \
              (ACCEPT_UNCERTAIN || writer[expected[e] + 1] == e + 1) -> \
       assert(answer_is_true || committed[e]); change[e] = accepted } \
  :: d_step { change[e] == pending && \
              (READ_BACK_HEAD && writer[head] != e + 1 && !in_transit[e] || \
               REFUSE_UNCERTAIN || !in_transit[e] && !committed[e] || \
               writer[expected[e] + 1] == 2 - e) -> \
       assert(answer_is_true || !committed[e]); change[e] = refused }

/* Copies of the configuration between processes; each may be late or lost. */
#define push_events(from, to) \
  :: d_step { applied[from] > 0 && pushed[to] == 0 -> \
       pushed[to] = applied[from] } \
  :: d_step { applied[to] == 0 && (READY_EMPTY || applied[from] > 0) -> \
       apply(to, applied[from]) }

#define process_events(p) \
  :: d_step { pushed[p] > 0 -> apply(p, pushed[p]); pushed[p] = 0 } \
  :: d_step { pushed[p] > 0 -> pushed[p] = 0 } \
  :: d_step { applied[p] > 0 -> applied[p] = 0; \
       pushed[p] = (PUSH_TO_RESTARTED -> pushed[p] : 0) }

active proctype events() {
  do
  operator_events(0)
  operator_events(1)
  :: d_step { head > applied[0] -> apply(0, head) }
  :: d_step { head > applied[1] -> apply(1, head) }
  process_events(0)
  process_events(1)
  process_events(2)
  push_events(0, 1)
  push_events(1, 0)
  push_events(0, GUARD)
  push_events(1, GUARD)
  push_events(GUARD, 0)
  push_events(GUARD, 1)
  od
}
