"""State of one minion incarnation: its lease, its runs and its orders."""

from collections.abc import Callable, Sequence
from dataclasses import replace

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.departure_notice import DepartureNotice
from dragonflynotch.control.end_detector import EndDetector
from dragonflynotch.control.lease_arithmetic import MinionLease
from dragonflynotch.control.minions import (
    Heartbeat,
    MinionClient,
    MinionState,
    NoAnswer,
    OtherIncarnation,
    Unhealthy,
)
from dragonflynotch.control.order_book import OrderBook, OrderEntry
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.crash_records import MinionCrash
from dragonflynotch.workflows.records import Report, RunningTask
from dragonflynotch.workflows.resources import Resources

__all__ = ('MinionSession',)

# A poll without a response may have extended the lease. After this many failed
# polls the lease is left to expire, so that its runs can be started elsewhere.
_MAX_FAILED_POLLS = 2


class MinionSession:
    """Current incarnation of the minion.

    Parameters
    ----------
    heartbeat : Heartbeat
        Last heartbeat.
    minion : MinionClient
        Client of the incarnation.
    writer : ReportWriter
        Provides the fencing token and the authority to extend leases.
    clock : SteadyClock
        Clock of this process.
    store_clock : StoreClock
        Bounds on the time of the store.
    lease_ms : int
        Duration of the minion's lease.
    abandoned : sequence of RunningTask
        Runs in the last report, of the incarnation before this one or as an
        earlier guard process knew those of this one.
    on_state : callable
        Called after each successful poll.
    """

    def __init__(
        self,
        heartbeat: Heartbeat,
        minion: MinionClient,
        writer: ReportWriter,
        clock: SteadyClock,
        store_clock: StoreClock,
        lease_ms: int,
        abandoned: Sequence[RunningTask],
        on_state: Callable[[], None],
    ) -> None:
        """Create the session; the runs are known after the first poll."""
        self.heartbeat = heartbeat
        self.minion = minion
        self.orders = OrderBook()
        self._writer = writer
        self._clock = clock
        self._lease_ms = lease_ms
        self._abandoned = list(abandoned)
        self._on_state = on_state
        self._lease = MinionLease(clock)
        # An earlier guard process may have extended the lease.
        self._lease.assume_granted_until(clock.now_ms() + lease_ms)
        self._failed_polls = 0
        self._runs_read_ms = clock.now_ms()
        self._has_lease = False
        self._is_live = True
        self._notice = DepartureNotice(clock, store_clock)
        self._notice.observe(heartbeat)
        self._end_detector = EndDetector(
            heartbeat.minion_id, clock, store_clock, self._notice
        )
        self._crash: MinionCrash | None = None

    @property
    def crash(self) -> MinionCrash | None:
        """How this incarnation crashed, once it has certainly ended."""
        return self._crash

    @property
    def suspected_crash(self) -> MinionCrash | None:
        """How this incarnation may have crashed, before that is certain."""
        if not self._is_live or self._is_reachable or not self.may_start:
            return None
        return self._end_detector.suspect_crash(self.orders)

    @property
    def is_live(self) -> bool:
        """Whether this incarnation may still have runs."""
        return self._is_live

    @property
    def has_lease(self) -> bool:
        """Whether the last poll asked the minion to extend its lease."""
        return self._has_lease

    @property
    def may_start(self) -> bool:
        """Whether the minion accepts new runs."""
        return self._is_live and not self.heartbeat.is_draining

    @property
    def lease_end_local_ms(self) -> int:
        """Local time at which every lease of the minion has expired."""
        return self._lease.expired_at_ms

    def is_about(self, incarnation_id: str) -> bool:
        """Return whether this is the session of an incarnation."""
        return incarnation_id in {self.heartbeat.minion_id, self.known_id}

    @property
    def known_id(self) -> str:
        """Identifier by the responses, see ``MinionClient.known_id``."""
        return self.minion.known_id

    def has_room_for(self, entry: OrderEntry) -> bool:
        """Return whether a run fits into the last reported capacity.

        Not every minion checks this itself, and the capacity may have shrunk
        since the run was ordered.
        """
        if entry.holds_resources:
            return True
        free = (
            Resources(*self.heartbeat.capacity) - self.orders.held_resources()
        )
        return free.covers(entry.order.resources)

    def mark_replaced(self) -> None:
        """Record that another incarnation of the minion has started."""
        if self._is_live:
            self._mark_ended(is_replaced=True)

    def update_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Use a newer heartbeat of the incarnation."""
        previous = self.heartbeat
        heartbeat = replace(heartbeat, minion_id=previous.minion_id)
        self.heartbeat = heartbeat
        has_changed = previous.is_draining != heartbeat.is_draining
        # A repeated heartbeat would seem to extend the notice.
        if heartbeat.sequence > previous.sequence or has_changed:
            has_changed |= self._notice.observe(heartbeat)
        if has_changed:
            decision_log.record(
                'minion_draining',
                minion=heartbeat.minion_id,
                is_draining=heartbeat.is_draining,
                remaining_ms=heartbeat.remaining_ms,
                leaves_at_ms=self._notice.leaves_at_ms(),
            )
            self._writer.request_write()
        if previous.capacity != heartbeat.capacity:
            decision_log.record(
                'capacity_changed',
                minion=heartbeat.minion_id,
                previous=previous.capacity,
                capacity=heartbeat.capacity,
            )
            self._writer.request_write()

    def grant(self, local_end_ms: int | None = None) -> int:
        """Return the lease end to send in a call, on the minion's clock.

        Returns 0 if the lease must not be extended.

        Parameters
        ----------
        local_end_ms : int, optional
            Local time after which the lease must not be valid.
        """
        if not self._is_reachable:
            return 0
        end_ms = min(
            self._clock.now_ms() + self._lease_ms,
            self._writer.authority_end_local_ms(),
        )
        if local_end_ms is not None:
            end_ms = min(end_ms, local_end_ms)
        return self._lease.grant(end_ms)

    async def poll(
        self, wait_ms: int = 0, *, may_delete_ends: bool = True
    ) -> bool:
        """Extend the lease and read the state of the minion's runs.

        Parameters
        ----------
        wait_ms : int
            How long the minion may wait for a run to end before it responds.
        may_delete_ends : bool
            Whether the minion may delete ends that have been recorded.

        Returns
        -------
        bool
            Whether the minion responded with its state.
        """
        recorded_up_to = (
            self.orders.last_recorded_end() if may_delete_ends else 0
        )
        end_ms = self.grant()
        # A poll that does not extend the lease must not delay the next one.
        started_ms = self._clock.now_ms()
        outcome = await self.minion.poll(
            self._writer.token, recorded_up_to, end_ms, wait_ms if end_ms else 0
        )
        self._has_lease = bool(end_ms)
        if isinstance(outcome, MinionState):
            self._apply_state(outcome, started_ms)
            return True
        self._on_failed_poll(outcome)
        return False

    async def read_last_ends(self) -> None:
        """Read the ends since the last poll, without extending the lease."""
        started_ms = self._clock.now_ms()
        outcome = await self.minion.poll(self._writer.token, 0, 0, 0)
        if isinstance(outcome, MinionState):
            self._apply_state(outcome, started_ms)

    def report(
        self, authority_end_ms: int, crashes: list[MinionCrash]
    ) -> Report:
        """Return the report for the scheduler.

        Parameters
        ----------
        authority_end_ms : int
            Store time until which the guard may extend leases.
        crashes : list of MinionCrash
            Recent crashes, also of earlier incarnations.
        """
        heartbeat = self.heartbeat
        state = self.orders.state
        host, port = heartbeat.address
        return Report(
            minion_id=heartbeat.minion_id,
            service=heartbeat.service,
            is_ready=self.may_start,
            is_live=self._is_live,
            authority_end_ms=authority_end_ms,
            token=self._writer.token,
            address=f'{host}:{port}',
            labels=heartbeat.labels,
            rack=heartbeat.rack,
            capacity=heartbeat.capacity,
            running=list(state.running) if state and self._is_live else [],
            ended=self.orders.unrecorded_ends(),
            rejected=self.orders.rejections(),
            abandoned=self._abandoned_runs(),
            runs_age_ms=self._clock.now_ms() - self._runs_read_ms,
            data_centre=heartbeat.data_centre,
            leaves_at_ms=self._notice.leaves_at_ms(),
            crashes=crashes,
            is_reachable=self._is_reachable,
            started=self.orders.unlisted_starts(),
        )

    @property
    def _is_reachable(self) -> bool:
        return self._failed_polls < _MAX_FAILED_POLLS

    def _abandoned_runs(self) -> list[RunningTask]:
        state = self.orders.state
        if self._is_live or state is None:
            return self._abandoned
        # No leader may have read the last report that lists them as running.
        return list(state.running) or self._abandoned

    def _forget_abandoned(self, state: MinionState) -> None:
        """Forget the runs that the minion lists, with newer checkpoints."""
        present = {(running.task, running.run) for running in state.running}
        self._abandoned = [
            running
            for running in self._abandoned
            if (running.task, running.run) not in present
        ]

    def _apply_state(self, state: MinionState, started_ms: int) -> None:
        known_numbers = {end.number for end in self.orders.unrecorded_ends()}
        if not self._is_reachable:
            self._writer.request_write()
        self._failed_polls = 0
        self._end_detector.record_response()
        now_ms = self._clock.now_ms()
        unseen_ms = now_ms - self._runs_read_ms
        self._runs_read_ms = now_ms
        self._lease.observe(state.clock_ms)
        found_runs = self.orders.find_unknown_runs(state)
        self.orders.update_state(state, started_ms, now_ms)
        self._forget_abandoned(state)
        for task, run in found_runs:
            decision_log.record('run_found', task=task, run=run)
        unrecorded = self.orders.unrecorded_ends()
        new_ends = [
            end for end in unrecorded if end.number not in known_numbers
        ]
        self._writer.end_log.record_read(
            new_ends, unrecorded, now_ms - started_ms, unseen_ms
        )
        if new_ends or not self._is_live:
            self._is_live = True
            self._crash = None
            self._writer.request_write()
        self._on_state()

    def _on_failed_poll(
        self, outcome: OtherIncarnation | Unhealthy | NoAnswer
    ) -> None:
        self._failed_polls += 1
        if self._failed_polls == _MAX_FAILED_POLLS:
            self._writer.request_write()
        self._end_detector.record_failure(outcome)
        if not self._is_live:
            return
        if (
            isinstance(outcome, OtherIncarnation)
            or self._lease.is_expired
            or self._end_detector.has_shut_down
        ):
            decision_log.record(
                'minion_lost',
                minion=self.heartbeat.minion_id,
                outcome=type(outcome).__name__,
            )
            self._mark_ended(is_replaced=isinstance(outcome, OtherIncarnation))
            self._writer.request_write()

    def _mark_ended(self, *, is_replaced: bool) -> None:
        self._is_live = False
        self._crash = self._end_detector.find_crash(
            self.orders,
            is_announced=self.heartbeat.is_draining,
            is_replaced=is_replaced,
        )
