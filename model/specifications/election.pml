/* Election of the scheduler by candidates of different speed
 * (docs/design/takeover.md).
 *
 * Two candidates compete for the lease. Each needs its own time to load the
 * rows; one may never finish. A holder renews the lease while it loads, so the
 * others only get it when it is released. A candidate that is short of link or
 * processor waits before it claims. Time passes in ticks, and what is due
 * happens before the next tick. Messages may not be lost here: model `rows`
 * shows that a holder that was replaced writes nothing.
 */
#define LIMIT 2         /* ticks allowed for the first load */
#define NEVER 9         /* a load that never completes */
#define DELAY 1         /* wait of a weak candidate before its claim */
#define SILENCE 3       /* takeover time in ticks; then abstaining nodes claim too */
#define ABSTENTION 8    /* how long a node abstains after a hand-over */
#define DOUBLINGS 3
/* The longest case: loads of 2, 4 and 8 ticks are given up, the fourth
 * completes after 6, and the lease is free for up to 4 ticks in between. */
#define BOUND 26

/* invariant holder_decides (G3): while at least one candidate can complete its
 * load, the time without decisions is bounded. */
bool holder_decides;
/* invariant gap_is_short (G3): a lease that is free is claimed within the
 * takeover time plus the delay of a weak candidate. */
bool gap_is_short;

/* mutant NO_LOAD_LIMIT breaks holder_decides: a holder repeats its load
 * without end. */
/* mutant NO_ABSTENTION breaks holder_decides: a holder that handed over may
 * claim the free lease at once. */
/* mutant FIXED_LIMIT breaks holder_decides: the limit does not grow with the
 * hand-overs, so slow candidates pass the lease on without end. */
/* mutant ENDLESS_ABSTENTION breaks gap_is_short: a node that handed over does
 * not claim the lease although no other does. */

#define NOBODY 2

byte holder = NOBODY;
byte need[2];           /* ticks that the load of a candidate takes */
bool weak[2];           /* the candidate waits before it claims */
bool alive[2] = true;
byte abstention[2];     /* ticks left of the abstention */
byte loaded;            /* ticks of the present load */
bool deciding;
byte handovers;
byte free;              /* ticks since the lease became free */
byte undecided;         /* ticks without decisions */

#define ALLOWED (FIXED_LIMIT -> LIMIT : LIMIT << handovers)
#define WAITING_TIME(c) (weak[c] -> DELAY : 0)
#define ABSTAINS(c) (abstention[c] > 0 && (ENDLESS_ABSTENTION || free < SILENCE))
#define MAY_CLAIM(c) (holder == NOBODY && alive[c] && !ABSTAINS(c) && free >= WAITING_TIME(c))
#define IS_LOADED (holder != NOBODY && !deciding && loaded >= need[holder])
#define IS_TOO_SLOW (holder != NOBODY && !deciding && !IS_LOADED && !NO_LOAD_LIMIT && loaded >= ALLOWED)

inline hand_over() {
  abstention[holder] = (NO_ABSTENTION -> 0 : ABSTENTION);
  holder = NOBODY; loaded = 0; free = 0;
  if
  :: handovers < DOUBLINGS -> handovers++
  :: else
  fi
}

inline claim(c) {
  holder = c; loaded = 0; deciding = false;
  assert(gap_is_short || free <= SILENCE + DELAY)
}

inline check_gap() {
  assert(gap_is_short || holder != NOBODY || free <= SILENCE + DELAY)
}

active proctype events() {
  byte c;
  /* The candidates differ in speed; at least one can complete its load. */
  if
  :: need[0] = 1
  :: need[0] = 3
  :: need[0] = 6
  :: need[0] = NEVER
  fi;
  if
  :: need[1] = 1
  :: need[1] = 3
  :: need[1] = 6
  fi;
  if
  :: weak[0] = true
  :: weak[0] = false
  fi;
  if
  :: weak[1] = true
  :: weak[1] = false
  fi;
  do
  :: d_step { MAY_CLAIM(0) -> claim(0) }
  :: d_step { MAY_CLAIM(1) -> claim(1) }
  :: d_step { IS_LOADED -> deciding = true; undecided = 0; handovers = 0 }
  :: d_step { IS_TOO_SLOW -> hand_over() }
  :: d_step { deciding && alive[1 - holder] && need[1 - holder] != NEVER ->
       /* The holder dies, and its lease is free after the takeover time. */
       alive[holder] = false; holder = NOBODY; deciding = false;
       loaded = 0; free = 0 }
  :: d_step { !MAY_CLAIM(0) && !MAY_CLAIM(1) && !IS_LOADED && !IS_TOO_SLOW ->
       c = 0;                               /* one tick passes */
       if
       :: abstention[0] > 0 -> abstention[0]--
       :: else
       fi;
       if
       :: abstention[1] > 0 -> abstention[1]--
       :: else
       fi;
       if
       :: holder == NOBODY && free <= SILENCE + DELAY -> free++
       :: else
       fi;
       if
       :: holder != NOBODY && !deciding && loaded < NEVER - 1 -> loaded++
       :: else
       fi;
       if
       :: !deciding -> undecided++
       :: else
       fi;
       check_gap();
       assert(holder_decides || undecided <= BOUND) }
  od
}
