"""Outlier ejection: minions that keep failing are ejected and readmitted.

A member of the routing table is a minion behind its guard, identified by the
guard. An ejected member receives no requests until its ejection has ended; then
a single request is sent as a probe. Success readmits the member, failure ejects
it for longer. Requests that were sent before an ejection began show nothing
about the member since then, so their outcomes are ignored.
"""

from collections.abc import Set
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

__all__ = ('EjectionPolicy', 'OutlierEjector')


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """Limits of the outlier ejection.

    Parameters
    ----------
    consecutive_failures : int
        Failures in a row after which a member is ejected. A success in between
        resets the count.
    base_duration : timedelta
        Duration of the first ejection; each further one doubles it.
    max_duration : timedelta
        Longest duration of an ejection.
    max_ejected_share : float
        Largest share of the members that may be ejected at once. One of two or
        more members may always be ejected.
    """

    consecutive_failures: int = 5
    base_duration: timedelta = timedelta(seconds=2)
    max_duration: timedelta = timedelta(minutes=2)
    max_ejected_share: float = 0.3

    def ejection_duration(self, ejections: int) -> timedelta:
        """Return the duration of the ejection with this number, from 1."""
        factor = 1 << min(ejections - 1, 20)
        return min(self.base_duration * factor, self.max_duration)


@dataclass(frozen=True, slots=True)
class _MemberState:
    failures: int = 0
    ejections: int = 0
    # Start of the latest ejection, kept after a readmission.
    ejected_at: datetime | None = None
    ejected_until: datetime | None = None
    probe_started_at: datetime | None = None

    def precedes_ejection(self, sent_at: datetime) -> bool:
        """Return whether a request was sent before the latest ejection."""
        return self.ejected_at is not None and sent_at <= self.ejected_at


_INITIAL_STATE = _MemberState()
# Another probe is allowed after this time, because a probe may end without a
# recorded outcome, for example if its caller cancels the request.
_PROBE_TIMEOUT = timedelta(seconds=30)


class OutlierEjector:
    """Counts failures of the members of a routing table and ejects members."""

    def __init__(self, policy: EjectionPolicy | None = None) -> None:
        """Start without ejected members."""
        self._policy = policy or EjectionPolicy()
        self._states: dict[str, _MemberState] = {}
        self._ejected: set[str] = set()

    @property
    def ejected(self) -> Set[str]:
        """Members that receive no requests except probes."""
        return self._ejected

    def is_ejected(self, guard_id: str) -> bool:
        """Return whether the member receives no requests except probes."""
        return guard_id in self._ejected

    def may_probe(self, guard_id: str, now: datetime) -> bool:
        """Return whether a request may be sent to the member as a probe."""
        state = self._state_of(guard_id)
        if state.ejected_until is None or now < state.ejected_until:
            return False
        started = state.probe_started_at
        return started is None or now - started > _PROBE_TIMEOUT

    def start_probe(self, guard_id: str, now: datetime) -> None:
        """Record that a probe is being sent to the member."""
        self._states[guard_id] = replace(
            self._state_of(guard_id), probe_started_at=now
        )

    def record_success(self, guard_id: str, sent_at: datetime) -> None:
        """Reset the failures of the member, and readmit it after a probe.

        Parameters
        ----------
        guard_id : str
            Member that answered.
        sent_at : datetime
            When the request was sent.
        """
        state = self._state_of(guard_id)
        if state.precedes_ejection(sent_at):
            return
        # A readmission keeps the number of ejections, so that a member that
        # fails again is ejected for longer. Each further success halves it.
        ejections = state.ejections
        if state.ejected_until is None:
            ejections //= 2
        self._states[guard_id] = _MemberState(
            ejections=ejections, ejected_at=state.ejected_at
        )
        self._ejected.discard(guard_id)

    def record_failure(
        self,
        guard_id: str,
        sent_at: datetime,
        now: datetime,
        members: Set[str],
    ) -> bool:
        """Count a failure and return whether the member is ejected for it.

        Parameters
        ----------
        guard_id : str
            Member that failed.
        sent_at : datetime
            When the request was sent.
        now : datetime
            Current time.
        members : set of str
            All live members, for the limit on the ejected share.
        """
        state = self._state_of(guard_id)
        if state.precedes_ejection(sent_at):
            return False
        state = replace(state, failures=state.failures + 1)
        self._states[guard_id] = state
        is_ejecting = state.ejected_until is not None or self._is_ejectable(
            guard_id, state, members
        )
        if is_ejecting:
            self._eject(guard_id, state, now)
        return is_ejecting

    def forget(self, guard_id: str) -> None:
        """Drop the state of a member that restarted or left."""
        self._states.pop(guard_id, None)
        self._ejected.discard(guard_id)

    def _state_of(self, guard_id: str) -> _MemberState:
        return self._states.get(guard_id, _INITIAL_STATE)

    def _is_ejectable(
        self, guard_id: str, state: _MemberState, members: Set[str]
    ) -> bool:
        if state.failures < self._policy.consecutive_failures:
            return False
        if len(members) < 2:
            return False
        ejected = sum(
            1
            for member in members
            if member != guard_id and self.is_ejected(member)
        )
        limit = max(1, int(len(members) * self._policy.max_ejected_share))
        return ejected < limit

    def _eject(self, guard_id: str, state: _MemberState, now: datetime) -> None:
        ejections = state.ejections + 1
        self._states[guard_id] = _MemberState(
            ejections=ejections,
            ejected_at=now,
            ejected_until=now + self._policy.ejection_duration(ejections),
        )
        self._ejected.add(guard_id)
