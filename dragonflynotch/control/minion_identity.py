"""Which incarnation of the minion responds on a guard's machine."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.minions import (
    Heartbeat,
    MinionClient,
    MinionState,
)
from dragonflynotch.control.order_runner import describe_outcome
from dragonflynotch.core.untrusted import parse_address
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Report

__all__ = ('Identified', 'MinionIdentifier', 'previous_heartbeat')


@dataclass(frozen=True, slots=True)
class Identified:
    """An incarnation that has responded.

    Parameters
    ----------
    heartbeat : Heartbeat
        Its heartbeat, with the remaining time as of the response.
    minion : MinionClient
        Its client.
    state : MinionState
        Its runs.
    """

    heartbeat: Heartbeat
    minion: MinionClient
    state: MinionState


class MinionIdentifier:
    """Asks the incarnation of a heartbeat whether it is present.

    The heartbeat alone is no proof: it may be a delayed one of an earlier
    incarnation.

    Parameters
    ----------
    connect : callable
        Creates the client of an incarnation from its heartbeat.
    token : callable
        Returns the fencing token of the guard.
    clock : SteadyClock
        Clock of this process.
    """

    def __init__(
        self,
        connect: Callable[[Heartbeat], MinionClient],
        token: Callable[[], int],
        clock: SteadyClock,
    ) -> None:
        """Create an identifier without pending calls."""
        self._connect = connect
        self._token = token
        self._clock = clock
        self._pending: set[str] = set()

    def begin(self, minion_id: str) -> bool:
        """Return whether ``identify`` should be called for an incarnation.

        ``False`` if it has been called already and has not returned.
        """
        if minion_id in self._pending:
            return False
        self._pending.add(minion_id)
        return True

    def forget_pending(self) -> None:
        """Forget all calls; they were cancelled."""
        self._pending.clear()

    async def identify(self, heartbeat: Heartbeat) -> Identified | None:
        """Return the incarnation of a heartbeat if it still responds."""
        try:
            return await self._ask(heartbeat)
        finally:
            self._pending.discard(heartbeat.minion_id)

    async def _ask(self, heartbeat: Heartbeat) -> Identified | None:
        received_ms = self._clock.now_ms()
        minion = self._connect(heartbeat)
        outcome = await minion.poll(self._token(), 0, 0, 0)
        if not isinstance(outcome, MinionState):
            decision_log.record(
                'heartbeat_ignored',
                minion=heartbeat.minion_id,
                outcome=describe_outcome(outcome),
            )
            minion.close()
            return None
        heartbeat = replace(
            heartbeat, minion_id=minion.known_id or heartbeat.minion_id
        )
        if heartbeat.remaining_ms is not None:
            elapsed_ms = self._clock.now_ms() - received_ms
            heartbeat = replace(
                heartbeat,
                remaining_ms=max(0, heartbeat.remaining_ms - elapsed_ms),
            )
        return Identified(heartbeat, minion, outcome)


def previous_heartbeat(report: Report, now_ms: int) -> Heartbeat | None:
    """Return a heartbeat of the incarnation that a report is about.

    ``None`` if it is about none.

    Parameters
    ----------
    now_ms : int
        Current store time.
    """
    address = parse_address(report.address)
    if not report.minion_id or address is None:
        return None
    remaining_ms = None
    if report.leaves_at_ms is not None:
        remaining_ms = max(0, report.leaves_at_ms - now_ms)
    return Heartbeat(
        minion_id=report.minion_id,
        service=report.service,
        address=address,
        sequence=0,
        is_draining=report.is_live and not report.is_ready,
        labels=report.labels,
        rack=report.rack,
        capacity=report.capacity,
        data_centre=report.data_centre,
        remaining_ms=remaining_ms,
    )
