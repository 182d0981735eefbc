"""Interface between a guard and its minion."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from dragonflynotch.workflows.records import (
    INVALID,
    NO_ROOM,
    RunEnd,
    RunningTask,
)

__all__ = (
    'ConnectionClosed',
    'Heartbeat',
    'MinionClient',
    'MinionOutcome',
    'MinionState',
    'NoAnswer',
    'NotListening',
    'OtherIncarnation',
    'RefusalReason',
    'Restarted',
    'StartRefused',
    'StartRequest',
    'Started',
    'Stopped',
    'Unhealthy',
)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of a minion as it announces it.

    Parameters
    ----------
    minion_id : str
        Identifier of the incarnation.
    service : str
        Name of the service.
    address : tuple of (str, int)
        Host and port that accept calls.
    sequence : int
        Number that grows with each heartbeat of one incarnation.
    is_draining : bool
        Whether the minion accepts no new runs because it is shutting down.
    labels : tuple of str
        Accelerator kind and rack of the worker.
    rack : str
        Rack of the worker, or ``''`` if unknown.
    data_centre : str
        Data centre of the worker, or ``''`` if unknown.
    capacity : tuple of int
        Millicores, megabytes and accelerators.
    remaining_ms : int or None
        Least time until a draining minion stops. ``None`` if it is unknown.
    """

    minion_id: str
    service: str
    address: tuple[str, int]
    sequence: int
    is_draining: bool
    labels: tuple[str, ...] = ()
    rack: str = ''
    capacity: tuple[int, int, int] = (0, 0, 0)
    remaining_ms: int | None = None
    data_centre: str = ''


class RefusalReason(StrEnum):
    """Why a minion refused to start a run."""

    fence = 'fence'
    # The run number is not above that of a run that was stopped or ended there.
    old = 'old'
    # The lease sent with the call had expired when the call arrived.
    late = 'late'
    room = NO_ROOM
    ticket = 'ticket'
    invalid = INVALID


@dataclass(frozen=True, slots=True)
class MinionState:
    """Runs of a minion.

    Parameters
    ----------
    clock_ms : int
        Time of its monotonic clock.
    running : tuple of RunningTask
        All runs.
    ended : tuple of RunEnd
        Ends that it has not been told to delete.
    has_all_ends : bool
        Whether ``ended`` is complete.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[RunEnd, ...]
    has_all_ends: bool = True


@dataclass(frozen=True, slots=True)
class Started:
    """The run is present at the minion."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The minion refused the call; it has no effect, now or later."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Unhealthy:
    """The minion did nothing but may accept the call later."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """The run is stopping, or a later call to start it will be refused."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """Another incarnation responded; the addressed one has ended."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No response; the call may have taken effect, or may seconds later."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotListening(NoAnswer):
    """No process listens at the minion's address; the call had no effect."""


@dataclass(frozen=True, slots=True)
class Restarted(NoAnswer):
    """A later incarnation responded that has the identifier of this one.

    Calls to this incarnation that were delayed may still start runs on it.
    """


@dataclass(frozen=True, slots=True)
class ConnectionClosed(NoAnswer):
    """The peer closed the connection; the call may have taken effect."""


# Outcome of a call that the addressed incarnation did not carry out, or of
# which that is unknown.
MinionOutcome = OtherIncarnation | Unhealthy | NoAnswer


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Run to start; ``lease_end_ms`` is a time of the minion's clock."""

    task: str
    run: int
    payload: str
    checkpoint: str
    lease_end_ms: int


class MinionClient(ABC):
    """Calls to one incarnation of a minion."""

    @abstractmethod
    async def poll(
        self, token: int, recorded_up_to: int, lease_end_ms: int, wait_ms: int
    ) -> MinionState | OtherIncarnation | Unhealthy | NoAnswer:
        """Extend the lease and return the state of the runs.

        Parameters
        ----------
        token : int
            Fencing token.
        recorded_up_to : int
            Number up to which the minion may delete ends.
        lease_end_ms : int
            New lease end on the minion's clock; 0 does not extend the lease.
        wait_ms : int
            How long the minion may wait for a run to end before it responds.
        """

    @abstractmethod
    async def start(
        self, request: StartRequest, token: int
    ) -> Started | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Start a run; repeated calls for the same run start it only once."""

    @abstractmethod
    async def stop(
        self, task: str, run: int, token: int
    ) -> Stopped | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Stop a run; later calls to start it are refused."""

    @property
    def known_id(self) -> str:
        """Identifier of the incarnation by its responses.

        It differs from that in the heartbeat if only the responses tell when
        the minion started; ``''`` if they say nothing about it.
        """
        return ''

    @abstractmethod
    def close(self) -> None:
        """Close the connections to the minion."""
