/* Prepare, start and abort of a gang of two members (design section 8.4).
 *
 * Owner 1 (fence 1) tries attempts 1 and 2; owner 2 (fence 2) may take over at
 * any time and tries attempt 3. Attempts 2 and 3 use the same two guards, or
 * other guards on which nothing fails. An owner that crashes or pauses takes no
 * step for any length of time. An order that was sent may arrive never, late or
 * repeatedly; the same holds for the reports of members. Model `task_lease`
 * shows that the lease of a guard that is silent to owner 2 ends before owner 2
 * counts it as ended.
 */
#define GUARDS 2
#define CONFIRMATION 2 /* 10 s */

/* invariant start_after_all_prepared (G2): a member computes only after every
 * member of its attempt has held its accelerators. */
bool start_after_all_prepared;
/* invariant one_attempt_at_a_time (G2): members of two attempts of a job never
 * compute at the same time. */
bool one_attempt_at_a_time;
/* invariant unconfirmed_member_stops (G2): a member computes longer than the
 * confirmation time-out only if every member has started. */
bool unconfirmed_member_stops;

/* mutant START_WITHOUT_ALL breaks start_after_all_prepared: the owner starts
 * when the first member is prepared. */
/* mutant REPORT_WITHOUT_FENCE breaks start_after_all_prepared: owner 2 takes
 * a late report about attempt 2 of owner 1 for one about its own attempt. */
/* mutant NEXT_WITHOUT_STOPPED breaks one_attempt_at_a_time: the owner begins
 * the next attempt before all members of the last one have stopped. */
/* mutant ADOPT_WITHOUT_ALL breaks one_attempt_at_a_time: owner 2 begins its
 * attempt without waiting for the guards that are silent. */
/* mutant NO_FENCE_CHECK breaks one_attempt_at_a_time: a guard obeys an order
 * with a lower fence. */
/* mutant ORDER_WITHOUT_LEASE breaks one_attempt_at_a_time: a guard obeys an
 * order after the end of its lease. */
/* mutant PREPARE_AGAIN breaks one_attempt_at_a_time: a guard prepares an
 * attempt that it was told to stop. */
/* mutant NO_INCARNATION breaks one_attempt_at_a_time: a restarted guard obeys
 * orders that were addressed to its previous process. */
/* mutant NO_CONFIRMATION breaks unconfirmed_member_stops: a member continues
 * to compute without confirmation. */
/* mutant CONFIRM_EARLY breaks unconfirmed_member_stops: the owner confirms
 * before every member has started. */

mtype = { idle, prepared, computing };                  /* of a member */
mtype = { waiting, preparing, starting, running, stopping, collecting };
mtype = { unknown, reported, expired };                 /* of a guard */

/* Orders that were sent; index: attempt, plus 3 for owner 2. */
bool prepare_sent[7];
bool start_sent[7];
bool confirm_sent[7];
bool stop_sent[7];

/* Reports of guard g about attempt a; index: 4 * g + a. */
bool has_prepared[8];
bool has_started[8];
bool has_stopped[8];

mtype member[GUARDS] = idle;
byte attempt[GUARDS];      /* of the member */
byte ended[GUARDS];        /* highest attempt that has stopped */
byte seen[GUARDS] = 1;     /* highest fence */
bool leased[GUARDS] = true;
bool restarted[GUARDS];
bool confirmed[GUARDS];
byte age[GUARDS];          /* ticks since an unconfirmed member started */

mtype phase1 = waiting;
byte attempt1 = 1;
bool took_over;
mtype phase2 = collecting;
byte attempt2 = 3;
mtype known[GUARDS] = unknown;
mtype told[GUARDS] = idle; /* member as reported to owner 2 */
byte told_attempt[GUARDS];

bool elsewhere;            /* the last attempt runs on other guards */

#define prepared_by(a) (has_prepared[a] && has_prepared[4 + a])
#define started_by(a) (has_started[a] && has_started[4 + a])
#define stopped_by(a) (has_stopped[a] && has_stopped[4 + a])

inline end_member(g) {
  if
  :: member[g] != idle ->
       has_stopped[4 * g + attempt[g]] = true;
       if
       :: attempt[g] > ended[g] -> ended[g] = attempt[g]
       :: else
       fi
  :: else
  fi;
  member[g] = idle; attempt[g] = 0; confirmed[g] = false; age[g] = 0
}

/* Whether guard g obeys an order about attempt a with fence f. */
#define obeys(g, f) \
  ((NO_FENCE_CHECK || seen[g] <= f) && (ORDER_WITHOUT_LEASE || leased[g]))

#define order(a, f) (a + 3 * (f - 1))

inline see(g, f) {
  if
  :: f > seen[g] -> seen[g] = f
  :: else
  fi
}

inline start_member(g, a) {
  member[g] = computing; age[g] = 0; has_started[4 * g + a] = true;
  assert(start_after_all_prepared || prepared_by(a));
  assert(one_attempt_at_a_time || !elsewhere &&
         (member[1 - g] != computing || attempt[1 - g] == a))
}

/* Orders about attempt a with fence f that arrive at guard g. */
#define deliveries(g, a, f) \
  :: d_step { prepare_sent[order(a, f)] && obeys(g, f) && \
              member[g] == idle && (PREPARE_AGAIN || ended[g] < a) -> \
       see(g, f); member[g] = prepared; attempt[g] = a; \
       has_prepared[4 * g + a] = true } \
  :: d_step { start_sent[order(a, f)] && obeys(g, f) && \
              member[g] == prepared && attempt[g] == a -> \
       see(g, f); start_member(g, a) } \
  :: d_step { confirm_sent[order(a, f)] && obeys(g, f) && \
              member[g] == computing && attempt[g] == a && !confirmed[g] -> \
       see(g, f); confirmed[g] = true; age[g] = 0 } \
  :: d_step { stop_sent[order(a, f)] && obeys(g, f) && \
              (attempt[g] == a || member[g] == idle) && \
              !has_stopped[4 * g + a] -> \
       see(g, f); end_member(g); has_stopped[4 * g + a] = true; \
       ended[g] = (ended[g] < a -> a : ended[g]) }

/* Orders carry the guard's incarnation, so a restarted guard, which has
 * forgotten its fence and its attempts, refuses all orders sent before. */
inline restart(g) {
  restarted[g] = true; seen[g] = 1;
  ended[g] = (NO_INCARNATION -> 0 :
    (prepare_sent[order(3, 2)] -> 3 : (prepare_sent[order(2, 1)] -> 2 : 1)))
}

/* Events at guard g: lease, failure, restart, contact with an owner. */
#define guard_events(g) \
  :: d_step { leased[g] -> leased[g] = false; end_member(g) } \
  :: d_step { !took_over && !leased[g] && seen[g] == 1 -> leased[g] = true } \
  :: d_step { member[g] != idle -> end_member(g) } \
  :: d_step { !restarted[g] && !leased[g] && prepare_sent[1] -> restart(g) } \
  :: d_step { took_over && known[g] == unknown -> \
       seen[g] = 2; leased[g] = true; known[g] = reported; \
       told[g] = member[g]; told_attempt[g] = attempt[g] } \
  :: d_step { took_over && known[g] == unknown && !leased[g] && seen[g] == 1 -> \
       known[g] = expired } \
  :: d_step { took_over && !leased[g] && phase2 != collecting -> \
       seen[g] = 2; leased[g] = true }

/* Steps of an owner after `prepare` was sent. */
#define owner_steps(phase, a, f) \
  :: d_step { phase == preparing && \
              (prepared_by(a) || START_WITHOUT_ALL && \
               (has_prepared[a] || has_prepared[4 + a]) || \
               REPORT_WITHOUT_FENCE && f == 2 && a == 3 && prepared_by(2)) -> \
       start_sent[order(a, f)] = true; phase = starting } \
  :: d_step { phase == starting && \
              (CONFIRM_EARLY || started_by(a)) -> \
       confirm_sent[order(a, f)] = true; phase = running } \
  :: d_step { phase == preparing || phase == starting || phase == running -> \
       stop_sent[order(a, f)] = true; phase = stopping }

inline start_elsewhere() {
  elsewhere = true;
  assert(one_attempt_at_a_time ||
         member[0] != computing && member[1] != computing)
}

inline collect() {
  if
  :: told[0] != idle && told[1] != idle &&
     told_attempt[0] == told_attempt[1] ->     /* adopts the gang */
       attempt2 = told_attempt[0];
       start_sent[order(attempt2, 2)] = true; phase2 = starting
  :: else ->                                   /* stops the remaining members */
       attempt2 = 2; stop_sent[order(1, 2)] = true;
       stop_sent[order(2, 2)] = true; phase2 = stopping
  fi
}

/* A guard whose lease expired has stopped all attempts of owner 1. */
#define cleared(g) \
  (known[g] == expired || \
   (has_stopped[4 * g + 1] && has_stopped[4 * g + 2]))

inline tick(g) {
  if
  :: member[g] == computing && !confirmed[g] && age[g] == CONFIRMATION &&
     !NO_CONFIRMATION -> end_member(g)
  :: member[g] == computing && !confirmed[g] &&
     age[g] < CONFIRMATION + NO_CONFIRMATION -> age[g]++
  :: else
  fi;
  assert(unconfirmed_member_stops || member[g] != computing ||
         !confirmed[g] && age[g] <= CONFIRMATION || started_by(attempt[g]))
}

active proctype events() {
  do
  :: d_step { phase1 == waiting ->
       prepare_sent[order(attempt1, 1)] = true; phase1 = preparing }
  owner_steps(phase1, attempt1, 1)
  :: d_step { phase1 == stopping && attempt1 == 1 &&
              (NEXT_WITHOUT_STOPPED || stopped_by(1)) ->
       attempt1 = 2; phase1 = waiting }
  :: d_step { phase1 == waiting && attempt1 == 2 && !took_over ->
       phase1 = collecting; start_elsewhere() }
  :: d_step { !took_over && !elsewhere -> took_over = true }
  :: d_step { took_over && phase2 == collecting && !elsewhere &&
              (ADOPT_WITHOUT_ALL ||
               known[0] != unknown && known[1] != unknown) -> collect() }
  :: d_step { phase2 == stopping && attempt2 < 3 &&
              (ADOPT_WITHOUT_ALL || cleared(0) && cleared(1)) ->
       attempt2 = 3; phase2 = waiting }
  :: d_step { phase2 == waiting ->
       prepare_sent[order(3, 2)] = true; phase2 = preparing }
  :: d_step { phase2 == waiting -> phase2 = collecting; start_elsewhere() }
  owner_steps(phase2, attempt2, 2)
  guard_events(0)
  guard_events(1)
  deliveries(0, 1, 1)
  deliveries(0, 2, 1)
  deliveries(0, 1, 2)
  deliveries(0, 2, 2)
  deliveries(0, 3, 2)
  deliveries(1, 1, 1)
  deliveries(1, 2, 1)
  deliveries(1, 1, 2)
  deliveries(1, 2, 2)
  deliveries(1, 3, 2)
  :: d_step { true -> tick(0); tick(1) }
  od
}
