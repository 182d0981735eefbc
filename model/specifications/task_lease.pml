/* Task lease of a guard around a takeover (design sections 6 and 8.5).
 *
 * A is the old owner (fence 1), B the new one (fence 2). Model `ownership`
 * shows that A decides no acknowledgement after the takeover. Here A may pause
 * between that decision and the sending, and may send orders at any time.
 */
#define TASK_LEASE 4 /* 20 s */

/* invariant silent_guard_stopped (G1, G2): when a new owner uses the
 * accelerators of a guard that never answered it, no task of the old owner
 * runs there, nor will one start. */
bool silent_guard_stopped;
/* invariant no_lower_fence (G2): a guard executes no order with a fence below
 * the highest that it has seen. */
bool no_lower_fence;

/* mutant LEASE_FROM_RECEIPT breaks silent_guard_stopped: the guard counts the
 * lease from the acknowledgement instead of its own announcement. */
/* mutant ORDER_STARTS_LEASE breaks silent_guard_stopped: an order gives a new
 * member a full lease of its own. */
/* mutant WORKER_FROM_RECEIPT breaks silent_guard_stopped: the worker counts
 * the remaining time from the arrival of the guard's message. */
/* mutant REUSE_WITHOUT_WAIT breaks silent_guard_stopped: the new owner does
 * not wait for the lease of a silent guard. */
/* mutant WAIT_FROM_SENDING breaks silent_guard_stopped: the new owner counts
 * the wait from the sending of its takeover instead of the answer. */
/* mutant NO_FENCE_CHECK breaks no_lower_fence: the guard ignores fences. */

bool took_over;
bool writing;              /* B has sent its takeover */
byte waited;               /* ticks that B has counted for the lease */
bool reported;             /* the guard answered B */
bool reused;               /* B used the accelerators of the silent guard */

mtype = { none, sent, decided };
mtype announcement = none; /* one announcement and its acknowledgement */
byte announcement_age;
byte lease;                /* remaining time at the guard */
byte seen = 1;             /* highest fence seen by the guard */

bool renewing;             /* guard to worker: renewal in transit */
byte renewing_left;        /* remaining time that the renewal carries */
byte worker_lease;         /* remaining time at the worker */
bool running;              /* a task ordered by A computes */

inline shrink(left) {
  if
  :: left > 0 -> left--
  :: else
  fi
}

inline check_reuse() {
  assert(silent_guard_stopped || !(reused && running))
}

active proctype events() {
  do
  :: d_step { announcement == none && !reported ->
       announcement = sent; announcement_age = 0 }
  :: d_step { announcement == sent && !took_over -> announcement = decided }
  :: d_step { announcement != none -> announcement = none }  /* lost */
  :: d_step { announcement == decided && seen == 1 ->
       announcement = none;
       if
       :: LEASE_FROM_RECEIPT -> lease = TASK_LEASE
       :: !LEASE_FROM_RECEIPT && TASK_LEASE - announcement_age > lease ->
            lease = TASK_LEASE - announcement_age
       :: else
       fi }
  :: d_step { !renewing && lease > 0 -> renewing = true; renewing_left = lease }
  :: d_step { renewing -> renewing = false;
       if
       :: renewing_left > worker_lease -> worker_lease = renewing_left
       :: else
       fi }
  :: d_step { !running &&                   /* an order of A arrives */
              (NO_FENCE_CHECK || seen == 1) &&
              (ORDER_STARTS_LEASE || worker_lease > 0) ->
       running = true;
       worker_lease = (ORDER_STARTS_LEASE -> TASK_LEASE : worker_lease);
       assert(no_lower_fence || seen == 1);
       check_reuse() }
  :: d_step { !writing -> writing = true; waited = 0 }
  :: d_step { writing && !took_over -> took_over = true }
  :: d_step { took_over && !reported && !reused -> /* the guard answers B */
       reported = true; seen = 2 }
  :: d_step { took_over && !reported && !reused &&
              (REUSE_WITHOUT_WAIT || waited == TASK_LEASE) ->
       reused = true; check_reuse() }
  :: d_step { true ->                       /* one tick passes */
       if
       :: announcement_age < TASK_LEASE -> announcement_age++
       :: else
       fi;
       if
       :: (took_over || WAIT_FROM_SENDING && writing) && waited < TASK_LEASE -> waited++
       :: else
       fi;
       shrink(lease); shrink(worker_lease);
       if
       :: !WORKER_FROM_RECEIPT && renewing_left > 0 -> renewing_left--
       :: else
       fi;
       running = running && worker_lease > 0 }
  od
}
