/* Reclaim of lent accelerators (design section 8.3).
 *
 * Any order to the borrower's guard and any report from it may be lost, also
 * while its announcements still reach the owner (a silent connection).
 */
#define CHECKPOINT_BOUND 2 /* 30 s */
#define STOP_BOUND 1       /* 5 s */
#define TASK_LEASE 3       /* 20 s */
#define BOUND (CHECKPOINT_BOUND + STOP_BOUND + TASK_LEASE)

/* invariant reclaim_in_time (G1): guaranteed accelerators are free for their
 * owner within the sum of the three bounds. */
bool reclaim_in_time;
/* invariant no_overlap (G1, G2): the owner of the guarantee starts only after
 * the borrower has stopped. */
bool no_overlap;

/* mutant CHECKPOINT_UNBOUNDED breaks reclaim_in_time: the owner waits for the
 * checkpoint without a limit. */
/* mutant STOP_UNBOUNDED breaks reclaim_in_time: the owner waits for the report
 * of the stop without a limit. */
/* mutant ACKNOWLEDGE_SILENT breaks no_overlap: the owner keeps renewing the
 * lease of a guard that does not confirm the stop. */
/* mutant START_WITHOUT_LEASE breaks no_overlap: the owner of the guarantee
 * starts without waiting for the end of the lease. */
/* mutant LEASE_FROM_RECEIPT breaks no_overlap: the guard counts the lease from
 * the acknowledgement. */
/* mutant STOP_BEFORE_TASK breaks no_overlap: the guard reports the stop before
 * the task has ended. */

mtype = { lent, checkpointing, stopping, expiring, reclaimed };
mtype phase = lent;
byte phase_age;
byte total_age;
bool running = true;       /* the task of the borrower computes */
bool ending;               /* the guard has told the worker to end the task */
bool stopped;              /* the report of the stop is in transit */
byte lease = TASK_LEASE;
mtype = { none, sent, decided };
mtype announcement = none;
byte announcement_age;

inline enter(next) {
  phase = next; phase_age = 0
}

active proctype events() {
  do
  :: d_step { phase == lent -> enter(checkpointing) }
  :: d_step { phase == checkpointing -> enter(stopping) } /* saved early */
  :: d_step { phase == checkpointing && phase_age == CHECKPOINT_BOUND ->
       enter(stopping) }
  :: d_step { phase == stopping && phase_age == STOP_BOUND -> enter(expiring) }
  :: d_step { phase == stopping && running -> ending = true } /* order */
  :: d_step { ending && running -> running = false; stopped = true }
  :: d_step { STOP_BEFORE_TASK && ending -> stopped = true }
  :: d_step { (phase == stopping || phase == expiring) && stopped ->
       enter(reclaimed); assert(no_overlap || !running) }
  :: d_step { phase == expiring &&
              (START_WITHOUT_LEASE || phase_age == TASK_LEASE) ->
       enter(reclaimed); assert(no_overlap || !running) }
  :: d_step { announcement == none -> announcement = sent;
       announcement_age = 0 }
  :: d_step { announcement == sent &&
              (ACKNOWLEDGE_SILENT || phase != expiring) ->
       announcement = decided }
  :: d_step { announcement == decided -> announcement = none;
       if
       :: LEASE_FROM_RECEIPT -> lease = TASK_LEASE
       :: !LEASE_FROM_RECEIPT && TASK_LEASE - announcement_age > lease ->
            lease = TASK_LEASE - announcement_age
       :: else
       fi }
  :: d_step { announcement != none -> announcement = none }   /* lost */
  :: d_step {                         /* one tick passes; no timer fires late */
       (CHECKPOINT_UNBOUNDED ||
        phase != checkpointing || phase_age < CHECKPOINT_BOUND) &&
       (STOP_UNBOUNDED ||
        phase != stopping || phase_age < STOP_BOUND) &&
       (phase != expiring || phase_age < TASK_LEASE) &&
       phase != reclaimed ->
       if
       :: phase_age < BOUND -> phase_age++
       :: else
       fi;
       if
       :: phase != lent && total_age <= BOUND -> total_age++
       :: else
       fi;
       if
       :: announcement_age < TASK_LEASE -> announcement_age++
       :: else
       fi;
       if
       :: lease > 0 -> lease--
       :: else
       fi;
       running = running && lease > 0;
       assert(reclaim_in_time || total_age <= BOUND) }
  od
}
