"""The known incarnation of a minion: its lease, its runs, its book."""

from collections.abc import Callable, Sequence

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.lease_arithmetic import MinionLease
from dragonflynotch.control.minions import (
    Heartbeat,
    MinionClient,
    MinionState,
    NoAnswer,
    OtherIncarnation,
    Unhealthy,
)
from dragonflynotch.control.order_book import OrderBook
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Report, RunningTask

__all__ = ('MinionSession',)

# A call without an answer may have extended the lease. After this many the
# lease is left to expire, so that its runs can start elsewhere.
_MAX_UNANSWERED_LOOKS = 2


class MinionSession:
    """One incarnation of the minion, while it is the present one.

    Parameters
    ----------
    heartbeat : Heartbeat
        Last heartbeat.
    minion : MinionClient
        Client of the incarnation.
    writer : ReportWriter
        Gives the fencing token and the authority to extend leases.
    lease_ms : int
        Length of the lease of the minion.
    abandoned : sequence of RunningTask
        Last known runs of the incarnation before this one.
    on_state : callable
        Called after the runs were read or the minion was found to be lost.
    """

    def __init__(
        self,
        heartbeat: Heartbeat,
        minion: MinionClient,
        writer: ReportWriter,
        clock: SteadyClock,
        lease_ms: int,
        abandoned: Sequence[RunningTask],
        on_state: Callable[[], None],
    ) -> None:
        """Start without having read the runs."""
        self.heartbeat = heartbeat
        self.minion = minion
        self.book = OrderBook()
        self._writer = writer
        self._clock = clock
        self._lease_ms = lease_ms
        self._abandoned = list(abandoned)
        self._on_state = on_state
        self._lease = MinionLease(clock)
        # An earlier guard process may have extended the lease.
        self._lease.assume_leased_until(clock.now_ms() + lease_ms)
        self._unanswered_looks = 0
        self._has_lease = False
        self._is_live = True

    @property
    def is_live(self) -> bool:
        """Whether runs of this incarnation may be present."""
        return self._is_live

    @property
    def has_lease(self) -> bool:
        """Whether the last call extended the lease."""
        return self._has_lease

    @property
    def may_start(self) -> bool:
        """Whether the minion takes new runs."""
        return self._is_live and not self.heartbeat.is_draining

    def grant(self, local_end_ms: int | None = None) -> int:
        """Return the lease end for a call, on the minion's clock.

        Parameters
        ----------
        local_end_ms : int, optional
            Local time that the lease must not exceed.
        """
        if self._unanswered_looks >= _MAX_UNANSWERED_LOOKS:
            return 0
        end_ms = min(
            self._clock.now_ms() + self._lease_ms,
            self._writer.authority_local_ms(),
        )
        if local_end_ms is not None:
            end_ms = min(end_ms, local_end_ms)
        return self._lease.grant(end_ms)

    async def look(self, wait_ms: int = 0, *, may_forget: bool = True) -> bool:
        """Extend the lease and read the runs; ``False`` without an answer.

        Parameters
        ----------
        wait_ms : int
            How long the minion may wait for an end.
        may_forget : bool
            Whether the minion may forget ends that have been recorded.
        """
        seen = self.book.seen_up_to() if may_forget else 0
        end_ms = self.grant()
        # A call that extends nothing must not delay the next one.
        outcome = await self.minion.look(
            self._writer.token, seen, end_ms, wait_ms if end_ms else 0
        )
        self._has_lease = bool(end_ms)
        if isinstance(outcome, MinionState):
            self._observe(outcome)
            return True
        self._on_silence(outcome)
        return False

    def report(self, authority_end_ms: int) -> Report:
        """Return what the scheduler has to know.

        Parameters
        ----------
        authority_end_ms : int
            Store time up to which leases may be extended.
        """
        heartbeat = self.heartbeat
        state = self.book.state
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
            ended=self.book.unrecorded_ends(),
            rejected=self.book.rejections(),
            abandoned=self._abandoned,
        )

    def _observe(self, state: MinionState) -> None:
        known = {end.number for end in self.book.unrecorded_ends()}
        self._unanswered_looks = 0
        self._lease.observe(state.clock_ms)
        self.book.observe(state)
        fresh = [
            end
            for end in self.book.unrecorded_ends()
            if end.number not in known
        ]
        for end in fresh:
            decision_log.record(
                'run_ended', task=end.task, run=end.run, kind=end.kind.value
            )
        if fresh or not self._is_live:
            self._is_live = True
            self._writer.request()
        self._on_state()

    def _on_silence(
        self, outcome: OtherIncarnation | Unhealthy | NoAnswer
    ) -> None:
        self._unanswered_looks += 1
        if not self._is_live:
            return
        if isinstance(outcome, OtherIncarnation) or self._lease.is_expired:
            decision_log.record(
                'minion_lost',
                minion=self.heartbeat.minion_id,
                outcome=type(outcome).__name__,
            )
            self._is_live = False
            self._writer.request()
