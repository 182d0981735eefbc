"""Guards that announced a worker, and the channels to them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.events import Event, WorkerJoined, WorkerLost
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.core.topology import Worker
from dragonflynotch.entry.members.guard_channel import (
    ChannelEvent,
    GuardChannel,
)
from dragonflynotch.entry.partition.outbox import OutgoingOrder
from dragonflynotch.links.order_link import OrderLink
from dragonflynotch.observability.logs import part_logger

__all__ = ('GuardRoster',)

_log = part_logger('entry.guard_roster')


@dataclass(slots=True)
class _Guard:
    worker: Worker
    address: tuple[str, int]
    incarnation: int
    digest: int
    heard_at: datetime
    is_present: bool = False
    is_draining: bool = False


class GuardRoster:
    """Tracks the guard of each worker and whether the worker is present.

    Parameters
    ----------
    entry_id : str
        Entry that sends the orders.
    link : OrderLink
        Sends messages to guards.
    emit : callable
        Receives channel events.
    time_to_live : timedelta
        How long a guard counts as present after its last announcement.
    retention : timedelta
        How long a silent guard is remembered.
    clock : Clock
        Clock of the entry.
    """

    def __init__(
        self,
        entry_id: str,
        link: OrderLink,
        emit: Callable[[ChannelEvent], None],
        time_to_live: timedelta,
        retention: timedelta,
        clock: Clock,
    ) -> None:
        """Start without guards and without ownership of the partition."""
        self._entry_id = entry_id
        self._link = link
        self._emit = emit
        self._time_to_live = time_to_live
        self._retention = retention
        self._clock = clock
        self._fence = 0
        self._guards: OrderedDict[str, _Guard] = OrderedDict()
        self._channels: dict[str, GuardChannel] = {}
        # A guard does not announce the name of a worker that is silent.
        self._worker_ids_by_guard: dict[str, str] = {}

    def handle_announcement(
        self,
        info: GuardInfo,
        digest: int,
        now: datetime,
        *,
        is_busy: bool = False,
    ) -> tuple[Event, ...]:
        """Handle an announcement and return the resulting events.

        Parameters
        ----------
        info : GuardInfo
            The announced state of the guard.
        digest : int
            Task digest of the guard.
        now : datetime
            When the announcement arrived.
        is_busy : bool
            Whether its worker runs jobs. The worker of a draining guard is
            lost once it is no longer busy.
        """
        found = self._find_or_add(info)
        if found is None:
            return ()
        guard, worker_id = found
        guard.heard_at = now
        guard.address = info.address
        guard.incarnation = info.incarnation
        guard.digest = digest
        self._guards.move_to_end(worker_id)
        self._update_channel(worker_id, guard)
        worker = info.worker
        if worker is None:
            return self.mark_lost(worker_id, 'its worker is silent')
        if not info.is_ready:
            guard.is_draining = True
            if is_busy:
                return ()
            return self.mark_lost(worker_id, 'its guard is draining')
        guard.is_draining = False
        if guard.is_present and guard.worker == worker:
            return ()
        guard.is_present = True
        guard.worker = worker
        return (WorkerJoined(worker),)

    def is_unreachable(self, guard_id: str, limit: timedelta) -> bool:
        """Return whether calls to a guard fail for longer than ``limit``."""
        channel = self._channels.get(
            self._worker_ids_by_guard.get(guard_id, '')
        )
        return channel is not None and channel.is_failing(
            limit, self._clock.now()
        )

    def is_draining(self, worker_id: str) -> bool:
        """Return whether the guard of a worker is draining."""
        guard = self._guards.get(worker_id)
        return guard is not None and guard.is_draining

    def mark_lost(self, worker_id: str, reason: str) -> tuple[Event, ...]:
        """Mark a worker as lost and return the event, if it was present."""
        guard = self._guards.get(worker_id)
        if guard is None or not guard.is_present:
            return ()
        guard.is_present = False
        return (WorkerLost(worker_id, reason),)

    def expire(self, now: datetime) -> tuple[Event, ...]:
        """Mark the workers of silent guards as lost and return the events.

        Guards that are silent for longer than the retention are removed.
        """
        events: list[Event] = []
        for worker_id, guard in tuple(self._guards.items()):
            age = now - guard.heard_at
            if age <= self._time_to_live:
                break
            events.extend(self.mark_lost(worker_id, 'its guard is silent'))
            if age > self._retention:
                self._guards.pop(worker_id)
                self._close_channel(worker_id)
        return tuple(events)

    def mark_all_heard(self, now: datetime) -> None:
        """Count all guards as heard now.

        Called after a pause of this process, in which it received no
        announcements.
        """
        for guard in self._guards.values():
            guard.heard_at = now

    def open_channels(self, fence: int) -> None:
        """Open channels under the fencing token ``fence`` to all guards."""
        self.close_channels()
        self._fence = fence
        for worker_id, guard in self._guards.items():
            self._update_channel(worker_id, guard)

    def close_channels(self) -> None:
        """Close all channels."""
        self._fence = 0
        for worker_id in tuple(self._channels):
            self._close_channel(worker_id)

    def dispatch(self, outgoing: OutgoingOrder) -> None:
        """Pass an order to the channel of its guard."""
        channel = self._channels.get(outgoing.worker_id)
        if channel is None:
            _log.warning(
                'dropped an order: no open channel to the guard of worker {}',
                outgoing.worker_id,
            )
            return
        channel.enqueue(outgoing.order)

    def _find_or_add(self, info: GuardInfo) -> tuple[_Guard, str] | None:
        worker = info.worker
        if worker is None:
            worker_id = self._worker_ids_by_guard.get(info.guard_id, '')
        else:
            worker_id = worker.worker_id
            self._worker_ids_by_guard[info.guard_id] = worker_id
        guard = self._guards.get(worker_id)
        if guard is None and worker is not None:
            guard = _Guard(
                worker, info.address, info.incarnation, 0, info.heard_at
            )
            self._guards[worker_id] = guard
        return None if guard is None else (guard, worker_id)

    def _update_channel(self, worker_id: str, guard: _Guard) -> None:
        if not self._fence:
            return
        channel = self._channels.get(worker_id)
        if channel is None:
            channel = GuardChannel(
                worker_id,
                guard.address,
                self._entry_id,
                self._fence,
                self._link,
                self._emit,
                self._clock,
            )
            channel.start()
            self._channels[worker_id] = channel
        channel.note_announcement(
            guard.address, guard.incarnation, guard.digest
        )

    def _close_channel(self, worker_id: str) -> None:
        channel = self._channels.pop(worker_id, None)
        if channel is not None:
            channel.close()
