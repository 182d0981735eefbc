"""Decides whether a holder of the lease is too slow to keep it.

All limits double with each hand-over in a row, so that candidates which are all
too slow for the load do not pass the lease on without end.
"""

__all__ = ('CannotKeepUpError', 'LoadBudget', 'RoundPace')

# Time for loading on a store that responds at once.
_LOAD_LIMIT_MS = 4000
# A load makes a few calls one after another, so it takes longer on a store that
# responds slowly to small calls too.
_CALLS_PER_LOAD = 4
# A small call that takes longer is delayed by the link rather than the store.
_MAX_CALL_MS = 1000
_MAX_DOUBLINGS = 4

# Surplus of time in late rounds over time in rounds that were on time.
_LATE_LIMIT_MS = 5000
# Decisions that take longer delay every start noticeably.
_SLOW_DECISION_MS = 500
# A longer write shows a slow store, which also delays the feeds.
_PROMPT_WRITE_MS = 250
# A process that was suspended may be fast again afterwards.
_MAX_COUNTED_MS = 1000
# A store that is slow for this long is no longer an excuse for old replicas: a
# link that delays all calls looks the same, and another leader may do better.
_MAX_EXCUSED_MS = 10_000
# After this time on schedule the hand-overs before are no longer relevant.
_SETTLED_MS = 10_000


class CannotKeepUpError(Exception):
    """The holder is too slow; the message says for which task."""


def _scaled(limit_ms: int, handovers: int) -> int:
    return limit_ms << min(handovers, _MAX_DOUBLINGS)


class LoadBudget:
    """Time that a new holder may take to load the rows.

    A renewal of the lease counts as one call of limited duration: the load
    continues meanwhile, and a store that does not respond uses up little.

    Parameters
    ----------
    handovers : int
        Hand-overs in a row before this load.
    """

    def __init__(self, handovers: int) -> None:
        """Start with the whole budget."""
        self._handovers = handovers
        self._call_ms = 0
        self._used_ms = 0

    @property
    def used_ms(self) -> int:
        """Time that was counted so far, in milliseconds."""
        return self._used_ms

    @property
    def limit_ms(self) -> int:
        """Time that may be used, in milliseconds."""
        return _scaled(
            _LOAD_LIMIT_MS + _CALLS_PER_LOAD * self._call_ms, self._handovers
        )

    def record_load(self, duration_ms: int) -> None:
        """Count a period of loading."""
        self._used_ms += duration_ms

    def record_renewal(self, duration_ms: int) -> None:
        """Count a renewal of the lease, which shows the response time."""
        self._call_ms = min(duration_ms, _MAX_CALL_MS)
        self._used_ms += self._call_ms

    def check(self) -> None:
        """Check the budget.

        Raises
        ------
        CannotKeepUpError
            If more time was used than allowed.
        """
        if self._used_ms > self.limit_ms:
            raise CannotKeepUpError('load')


class RoundPace:
    """Whether the rounds of a holder keep up with the load.

    A round is late if its decisions took too long, or if the replicas of the
    rows were too old to decide although the store responded promptly to the
    last write. Old replicas are excused while the store responds slowly, but
    not for long without a break. An excused round counts neither as late nor as
    on time.

    Parameters
    ----------
    handovers : int
        Hand-overs in a row before this term.
    """

    def __init__(self, handovers: int) -> None:
        """Start without late rounds."""
        self._limit_ms = _scaled(_LATE_LIMIT_MS, handovers)
        self._late_ms = 0
        self._on_time_ms = 0
        # Time since the replicas were last recent enough.
        self._stale_ms = 0

    @property
    def late_ms(self) -> int:
        """Surplus of time in late rounds, in milliseconds."""
        return self._late_ms

    @property
    def is_settled(self) -> bool:
        """Whether the rounds have been on time for long."""
        return self._on_time_ms >= _SETTLED_MS

    def record_round(
        self,
        duration_ms: int,
        decision_ms: int,
        write_ms: int,
        *,
        could_decide: bool,
    ) -> None:
        """Count one round.

        Parameters
        ----------
        duration_ms : int
            Time since the previous round without that of its writes.
        decision_ms : int
            Time that the decisions took.
        write_ms : int
            Time that the last write took.
        could_decide : bool
            Whether all rows, also the operator's, were recent enough to start
            runs.

        Raises
        ------
        CannotKeepUpError
            If rounds have been late for too long.
        """
        counted_ms = min(duration_ms, _MAX_COUNTED_MS)
        self._stale_ms = 0 if could_decide else self._stale_ms + counted_ms
        is_excused = (
            write_ms > _PROMPT_WRITE_MS and self._stale_ms <= _MAX_EXCUSED_MS
        )
        if decision_ms > _SLOW_DECISION_MS:
            self._record_late(counted_ms, 'rounds')
        elif could_decide:
            self._late_ms = max(0, self._late_ms - counted_ms)
            self._on_time_ms += counted_ms
        elif not is_excused:
            self._record_late(counted_ms, 'feeds')

    def _record_late(self, counted_ms: int, task: str) -> None:
        self._on_time_ms = 0
        self._late_ms += counted_ms
        if self._late_ms > self._limit_ms:
            raise CannotKeepUpError(task)
