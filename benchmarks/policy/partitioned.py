"""The production partition as a policy in the benchmark."""

from datetime import datetime

from benchmarks.policy.scheduler import Scheduler
from dragonflynotch.core.actions import Action
from dragonflynotch.core.events import Event
from dragonflynotch.core.partition import Partition
from dragonflynotch.core.policy import PolicySettings

__all__ = ('PartitionScheduler',)


class PartitionScheduler(Scheduler):
    """Delivers every event to a ``Partition``."""

    def __init__(
        self, data_centre: str, policy: PolicySettings | None = None
    ) -> None:
        """Create a partition without an owner."""
        self._partition = Partition(data_centre, policy)

    @property
    def next_deadline(self) -> datetime | None:
        """When to deliver ``TimerFired``, or None."""
        return self._partition.next_deadline

    @property
    def partition(self) -> Partition:
        """The wrapped partition, which can explain why jobs wait."""
        return self._partition

    def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
        """Return the actions that answer an event."""
        return self._partition.handle(event, now)
