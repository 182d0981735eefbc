/* Right of a partition owner to renew task leases (design section 8.5).
 *
 * Entry A owns the partition, entry B may take it over. Every event may be
 * delayed without bound, which models pauses, a slow or unreachable table
 * (for one entry or for both) and slow messages. Time passes in ticks; each
 * entry measures on its own clock. A write that was sent may take effect late.
 */
#define LEASE 3         /* 6 s without a change of the row */
#define RENEWAL_VALID 2 /* 5 s */
#define GRANT 5         /* 10 s at the entry that grants */
#define GRANT_HELD 4    /* 9 s at the owner */

/* invariant one_renewer (G1, G2): an owner that was superseded decides no
 * acknowledgement that renews a task lease. */
bool one_renewer;

/* mutant RENEWAL_FROM_ANSWER breaks one_renewer: the owner counts its renewal
 * from the answer of the table instead of the sending of the write. */
/* mutant GRANT_FROM_RECEIPT breaks one_renewer: the owner counts a grant from
 * its arrival instead of the sending of the request for it. */
/* mutant TAKEOVER_DESPITE_GRANT breaks one_renewer: an entry takes over while
 * its own grant is in force. */
/* mutant TAKEOVER_WITHOUT_WAIT breaks one_renewer: an entry takes over
 * although the row changed less than a lease ago. */
/* mutant TAKEOVER_UNCONDITIONAL breaks one_renewer: the takeover is written
 * without the condition on the row's version. */
/* mutant GRANT_AFTER_TAKEOVER_WRITE breaks one_renewer: an entry grants
 * although an earlier takeover write of its own may still take effect. */
/* mutant GRANT_AFTER_RESTART breaks one_renewer: an entry grants before it has
 * seen the row change, although a takeover write of the process that ran
 * before it under the same id may still take effect. */
/* mutant GRANT_TO_FORMER_OWNER breaks one_renewer: an entry grants to an entry
 * that is not the owner named by the row as it was read last. */
/* mutant TAKEOVER_AFTER_RESTART breaks one_renewer: an entry that has just
 * started forgets that it may have granted before. */
/* mutant TAKEOVER_UNLISTED breaks one_renewer: an entry takes over that the
 * owner does not list as a candidate. */

bool took_over;             /* the row carries B's fence */
bool listed;                /* the row names B as a candidate */

bool owns = true;           /* A believes that it is the owner */
bool knows_b;               /* A needs a grant of B */
byte renewal_age;           /* since A sent its last successful renewal */
byte held;                  /* remaining time of the grant at A */
byte request_age;           /* since A asked for the grant in transit */
mtype = { none, sent, applied, refused, granted };
mtype renewal = none;       /* A's write to the row */
byte write_age;
bool write_lists;           /* A's write names B */
mtype request = none;       /* A's request for a grant */

bool started;               /* B runs */
bool has_read;              /* B has read the row since its start */
bool names_a;               /* the row named A when B read it */
bool changed = true;        /* the row changed since B read it */
byte unchanged;             /* time for which B has seen no change */
byte given;                 /* remaining time of the grant at B */
byte uptime;
bool may_grant;             /* no takeover write of B can take effect */
mtype takeover = none;      /* a takeover write of B in transit */
bool outdated;              /* the row changed since B prepared that write */

inline grow(age, limit) {
  if
  :: age < limit -> age++
  :: else
  fi
}

inline shrink(left) {
  if
  :: left > 0 -> left--
  :: else
  fi
}

active proctype events() {
  do
  :: d_step { owns && renewal == none ->     /* A renews without B */
       renewal = sent; write_age = 0; write_lists = knows_b }
  :: d_step { owns && renewal == none && started ->   /* A has learnt of B */
       renewal = sent; write_age = 0; write_lists = true; knows_b = true }
  :: d_step { renewal == sent && !took_over -> /* the table applies it */
       renewal = applied; changed = true; outdated = true;
       listed = listed || write_lists }
  :: d_step { renewal == sent && took_over -> renewal = refused }
  :: d_step { renewal == sent -> renewal = none }       /* the write failed */
  :: d_step { renewal == refused -> renewal = none; owns = false }
  :: d_step { renewal == applied ->          /* answer, or read back */
       renewal = none;
       renewal_age = (RENEWAL_FROM_ANSWER -> 0 : write_age) }
  :: d_step { owns && request == none -> request = sent; request_age = 0 }
  :: d_step { request == sent && started &&
              (GRANT_AFTER_TAKEOVER_WRITE || may_grant) &&
              (GRANT_TO_FORMER_OWNER || names_a) ->
       request = granted; given = GRANT }
  :: d_step { request == granted -> request = none;
       if
       :: GRANT_FROM_RECEIPT -> held = GRANT_HELD
       :: !GRANT_FROM_RECEIPT && GRANT_HELD - request_age > held ->
            held = GRANT_HELD - request_age
       :: else
       fi }
  :: d_step { request != none -> request = none }       /* lost */
  :: d_step { owns && (renewal_age < RENEWAL_VALID || held > 0 || !knows_b) ->
       assert(one_renewer || !took_over) }   /* A acknowledges as owner */
  :: d_step { true ->                        /* B starts or restarts */
       started = true; has_read = false; names_a = false;
       changed = true; unchanged = 0; given = 0; uptime = 0;
       may_grant = GRANT_AFTER_RESTART }
  :: d_step { started && (changed || !has_read) ->      /* B reads the row */
       may_grant = may_grant || has_read;
       names_a = !took_over;
       has_read = true; changed = false; unchanged = 0 }
  :: d_step { has_read && takeover == none && !took_over &&
              (TAKEOVER_WITHOUT_WAIT || unchanged == LEASE) &&
              (TAKEOVER_DESPITE_GRANT || given == 0) &&
              (TAKEOVER_AFTER_RESTART || uptime == GRANT) &&
              (TAKEOVER_UNLISTED || listed) ->
       takeover = sent; outdated = changed; may_grant = false }
  :: d_step { takeover == sent && (TAKEOVER_UNCONDITIONAL || !outdated) ->
       takeover = none; took_over = true; changed = true }
  :: d_step { takeover == sent && outdated -> takeover = none }
  :: d_step { true ->                        /* one tick passes */
       grow(renewal_age, RENEWAL_VALID); grow(write_age, RENEWAL_VALID);
       grow(request_age, GRANT_HELD); grow(unchanged, LEASE);
       grow(uptime, GRANT); shrink(held); shrink(given) }
  od
}
