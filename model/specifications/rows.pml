/* Orders and leases over rows of a store (docs/platform.md, "The way of a job"
 * and "Who decides, and for how long").
 *
 * The first run of a task is ordered at guard A. Two schedulers hold the
 * lease in turns; one of them may order the second run at guard B, whose
 * minion starts it at once. Transactions, reports and calls to A's minion may
 * be lost or take effect at any later time; A may pause or restart.
 * Time passes in ticks; A counts its times from the sending of a
 * message. An order is only written for a guard with a fresh report, so its
 * window ends before the authority of that report.
 */
#define WINDOW 1        /* an order waits this long for its start */
#define LEASE 2         /* longest extension of the lease of A's minion */
#define AUTHORITY 3     /* a written report allows extensions this long */

/* invariant one_run (G2, G4): the runs of A and B are never present at the
 * same time. */
bool one_run;
/* invariant no_repeat (G4): nothing starts after the end was recorded, and
 * nothing is ordered or recorded twice. */
bool no_repeat;

/* mutant WRITE_WITHOUT_LEASE breaks no_repeat: a deposed holder's transaction
 * takes effect. */
/* mutant TAKEOVER_WITHOUT_READING breaks no_repeat: a new holder does not read
 * the order that is in the store. */
/* mutant VOID_BEFORE_END breaks one_run: the run of a guard is voided while
 * its report still allows extensions. */
/* mutant AUTHORITY_FROM_ANSWER breaks one_run: a guard counts its authority
 * from the answer instead of the sending of its report. */
/* mutant EXTENSION_WITHOUT_LIMIT breaks one_run: an extension of the minion's
 * lease may end after the authority. */
/* mutant START_WITHOUT_DEADLINE breaks one_run: a call to start carries no
 * lease that ends with the window of the order. */
/* mutant REJECTION_BEFORE_DEADLINE breaks one_run: a guard rejects an order
 * while its own call may still start the run. */
/* mutant END_FORGOTTEN_EARLY breaks no_repeat: the minion forgets an end
 * before the order is removed, and the guard treats the run as lost. */

/* Rows of the store. */
byte lease_version = 1;
byte order = 1;         /* run that is ordered: 1 at A, 2 at B, 0 none */
bool second;            /* the second run was ordered */
byte window = WINDOW;   /* time left for the start at A */
bool done;              /* the end is recorded */
byte report_version;    /* modulo 3 */
byte report_left = AUTHORITY;   /* authority in the row */
mtype = { nothing, ended, rejected, voided };
mtype report = nothing; /* state of A's run in the row of A */

/* Schedulers: version of the lease, 0 for no holder, and the order known. */
byte known_version[2];
byte known_order[2];
mtype = { idle, ordering, removing, recording };
mtype writing[2] = idle;
byte write_version[2];
bool voiding;           /* an overwrite of A's report is in transit */
byte void_version;

/* Guard A. */
byte known_report;      /* version of its row */
byte left;              /* authority as A counts it */
bool reporting;
byte sent_version;
byte sent_age;
mtype sent = nothing;
bool answered;          /* the answer to a report is in transit */
bool closed;            /* A has rejected the order */
bool calling;           /* a call to start is in transit */
byte call_left;         /* time until the end of the lease in the call */

/* Minions. */
bool present;           /* the run at A */
bool was_present;       /* the run was present at A; no second start */
byte minion_lease;
bool ended_at_a;        /* A's minion lists the end */
bool lapsed;            /* the lease of A's minion has expired */
bool noted;             /* A's minion forgot the end before its lease expired */
bool present_at_b;

inline shrink(time) {
  if
  :: time > 0 -> time--
  :: else
  fi
}


#define MAY_COMMIT(h) (WRITE_WITHOUT_LEASE || write_version[h] == lease_version)
#define IS_FREE(h) (known_version[h] > 0 && writing[h] == idle)

active proctype events() {
  byte h;
  do
  :: h = 1 - h
  :: d_step { writing[h] == idle && lease_version < 3 ->  /* takes the lease */
       lease_version++; known_version[h] = lease_version;
       known_order[h] = (TAKEOVER_WITHOUT_READING -> 0 : order) }
  :: d_step { IS_FREE(h) && known_order[h] == 0 && !done ->
       writing[h] = ordering; write_version[h] = known_version[h] }
  :: d_step { IS_FREE(h) && known_order[h] == 1 &&
              (report == rejected || report == voided) ->
       writing[h] = removing; write_version[h] = known_version[h] }
  :: d_step { IS_FREE(h) && known_order[h] == 1 && report == ended ->
       writing[h] = recording; write_version[h] = known_version[h] }
  :: d_step { writing[h] == ordering && MAY_COMMIT(h) ->
       assert(no_repeat || !second);
       order = 2; second = true; known_order[h] = 2;
       writing[h] = idle; write_version[h] = 0 }
  :: d_step { writing[h] == removing && MAY_COMMIT(h) ->
       order = 0; known_order[h] = 0;
       writing[h] = idle; write_version[h] = 0 }
  :: d_step { writing[h] == recording && MAY_COMMIT(h) ->
       assert(no_repeat || !done);
       order = 0; known_order[h] = 0; done = true;
       writing[h] = idle; write_version[h] = 0 }
  :: d_step { writing[h] != idle && write_version[h] != lease_version &&
              !WRITE_WITHOUT_LEASE ->
       writing[h] = idle; write_version[h] = 0;           /* deposed */
       known_version[h] = 0; known_order[h] = 0 }

  :: d_step { !voiding && report != voided &&
              (VOID_BEFORE_END || report_left == 0) ->
       voiding = true; void_version = report_version }
  :: d_step { voiding ->
       voiding = false;
       if
       :: report_version == void_version ->
            report = voided; report_left = 0;
            report_version = (report_version + 1) % 3
       :: else
       fi;
       void_version = 0 }

  :: d_step { !reporting && !answered ->          /* A sends its report */
       reporting = true; sent_version = known_report; sent_age = 0;
       sent = (ended_at_a -> ended : (closed -> rejected : nothing)) }
  :: d_step { reporting && sent_version == report_version ->
       reporting = false; answered = true;
       report_version = (report_version + 1) % 3;
       report_left = AUTHORITY - sent_age;
       report = (report == voided && sent != ended -> voided : sent);
       sent = nothing; sent_version = 0 }
  :: d_step { reporting ->                        /* lost, or refused */
       reporting = false; sent = nothing; sent_version = 0; sent_age = 0 }
  :: d_step { answered ->
       answered = false; known_report = report_version;
       left = (AUTHORITY_FROM_ANSWER -> AUTHORITY : AUTHORITY - sent_age);
       sent_age = 0 }
  :: d_step { answered -> answered = false; sent_age = 0 }     /* lost */
  :: d_step { !reporting && !answered -> known_report = report_version }
  :: d_step { was_present && left > 0 ->          /* extends the lease */
       minion_lease =
         (EXTENSION_WITHOUT_LIMIT || left > LEASE -> LEASE : left) }
  :: d_step { order == 1 && !closed && !was_present &&
              (REJECTION_BEFORE_DEADLINE || window == 0) -> closed = true }
  :: d_step { order == 1 && !calling && !closed && !was_present &&
              window > 0 && left > 0 ->
       calling = true; call_left = (window < left -> window : left) }
  :: d_step { true -> left = 0 }                  /* A restarts */
  :: d_step { ended_at_a && (END_FORGOTTEN_EARLY || order != 1) ->
       ended_at_a = false; noted = noted || !lapsed;
       closed = closed || END_FORGOTTEN_EARLY }

  :: d_step { calling ->                          /* a call is carried out */
       calling = false;
       if
       :: !was_present && (START_WITHOUT_DEADLINE || call_left > 0) ->
            assert(one_run || !present_at_b);
            assert(no_repeat || !done);
            present = true; was_present = true;
            minion_lease = (START_WITHOUT_DEADLINE -> LEASE : call_left)
       :: else
       fi;
       call_left = 0 }
  :: d_step { present -> present = false; ended_at_a = true }
  :: d_step { order == 2 && !present_at_b ->      /* B starts the run */
       assert(one_run || !present);
       assert(no_repeat || (!done && !noted));
       present_at_b = true }

  :: d_step { true ->                             /* one tick passes */
       shrink(window); shrink(left); shrink(report_left);
       shrink(call_left);
       if
       :: (reporting || answered) && sent_age < AUTHORITY -> sent_age++
       :: else
       fi;
       if
       :: minion_lease > 1 -> minion_lease--
       :: else -> minion_lease = 0; present = false; lapsed = was_present
       fi }
  od
}
