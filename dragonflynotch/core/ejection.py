"""Ejection of minions that fail everything, and their readmission."""

from collections.abc import Set
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

__all__ = ('EjectionPolicy', 'OutlierEjector')


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """Limits of the ejection.

    Parameters
    ----------
    consecutive_failures : int
        Failures in a row after which a member is ejected. A member that
        answers now and then stays in use.
    base_time : timedelta
        Duration of the first ejection; each further one doubles it.
    max_time : timedelta
        Longest ejection.
    max_share : float
        Largest share of the members that may be ejected; one of two or more
        members may always be ejected.
    """

    consecutive_failures: int = 5
    base_time: timedelta = timedelta(seconds=2)
    max_time: timedelta = timedelta(minutes=2)
    max_share: float = 0.3

    def ejection_time(self, ejections: int) -> timedelta:
        """Return how long the member is ejected for the n-th time."""
        factor = 1 << min(ejections - 1, 20)
        return min(self.base_time * factor, self.max_time)


@dataclass(frozen=True, slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until: datetime | None = None
    probe_started_at: datetime | None = None


_CLEAN = _Record()
# A probe without an outcome, for example after a cancelled caller, must not
# keep the member out for ever.
_PROBE_LIMIT = timedelta(seconds=30)


class OutlierEjector:
    """Failures and ejections of the members of a routing table."""

    def __init__(self, policy: EjectionPolicy | None = None) -> None:
        """Start without ejected members."""
        self._policy = policy or EjectionPolicy()
        self._records: dict[str, _Record] = {}
        self._ejected: set[str] = set()

    @property
    def ejected(self) -> Set[str]:
        """Members that get no regular requests."""
        return self._ejected

    def is_ejected(self, guard_id: str) -> bool:
        """Return whether the member gets no regular requests."""
        return guard_id in self._ejected

    def needs_probe(self, guard_id: str, now: datetime) -> bool:
        """Return whether a probe request may be sent to an ejected member."""
        record = self._record(guard_id)
        if record.ejected_until is None or now < record.ejected_until:
            return False
        started = record.probe_started_at
        return started is None or now - started > _PROBE_LIMIT

    def start_probe(self, guard_id: str, now: datetime) -> None:
        """Note that the one probe of the member is under way."""
        self._records[guard_id] = replace(
            self._record(guard_id), probe_started_at=now
        )

    def record_success(self, guard_id: str) -> None:
        """Readmit the member and forget its failures."""
        record = self._record(guard_id)
        is_probe = record.probe_started_at is not None
        if record.ejected_until is not None and not is_probe:
            return
        # The next ejection after a readmission is not the first one again,
        # so a member that alternates is ejected for longer each time.
        ejections = record.ejections if is_probe else record.ejections // 2
        self._records[guard_id] = _Record(ejections=ejections)
        self._ejected.discard(guard_id)

    def record_failure(
        self, guard_id: str, now: datetime, members: Set[str]
    ) -> bool:
        """Count a failure and return whether the member is ejected by it.

        Parameters
        ----------
        guard_id : str
            Member that failed.
        now : datetime
            Current time.
        members : set of str
            All live members, for the limit on the ejected share.
        """
        record = self._record(guard_id)
        record = replace(record, failures=record.failures + 1)
        self._records[guard_id] = record
        if record.ejected_until is not None:
            is_due = record.probe_started_at is not None
        else:
            is_due = self._is_ejectable(guard_id, record, members)
        if is_due:
            self._eject(guard_id, record, now)
        return is_due

    def forget(self, guard_id: str) -> None:
        """Drop what is known, because the member restarted or is gone."""
        self._records.pop(guard_id, None)
        self._ejected.discard(guard_id)

    def _record(self, guard_id: str) -> _Record:
        return self._records.get(guard_id, _CLEAN)

    def _is_ejectable(
        self, guard_id: str, record: _Record, members: Set[str]
    ) -> bool:
        if record.failures < self._policy.consecutive_failures:
            return False
        if len(members) < 2:
            return False
        ejected = sum(
            1
            for member in members
            if member != guard_id and self.is_ejected(member)
        )
        limit = max(1, int(len(members) * self._policy.max_share))
        return ejected < limit

    def _eject(self, guard_id: str, record: _Record, now: datetime) -> None:
        ejections = record.ejections + 1
        self._records[guard_id] = _Record(
            ejections=ejections,
            ejected_until=now + self._policy.ejection_time(ejections),
        )
        self._ejected.add(guard_id)
