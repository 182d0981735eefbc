"""Interface to the minion beside a guard."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from dragonflynotch.workflows.records import RunEnd, RunningTask

__all__ = (
    'Heartbeat',
    'MinionClient',
    'MinionState',
    'NoAnswer',
    'OtherIncarnation',
    'RefusalReason',
    'StartRefused',
    'StartRequest',
    'Started',
    'Stopped',
    'Unhealthy',
)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a minion says about itself.

    Parameters
    ----------
    minion_id : str
        Incarnation.
    address : tuple of (str, int)
        Where it accepts calls.
    sequence : int
        Grows with each heartbeat of one incarnation.
    labels : tuple of str
        Kind and rack.
    rack : str
        Rack, or ``''``.
    capacity : tuple of int
        Millicores, megabytes and accelerators.
    remaining_ms : int
        Time left while draining.
    """

    minion_id: str
    service: str
    address: tuple[str, int]
    sequence: int
    is_draining: bool
    labels: tuple[str, ...] = ()
    rack: str = ''
    capacity: tuple[int, int, int] = (0, 0, 0)
    remaining_ms: int = 0


class RefusalReason(StrEnum):
    """Why a minion refused to start a run."""

    fence = 'fence'
    # The run is not above one that was stopped or ended there.
    old = 'old'
    # The lease of the call had expired when it arrived.
    late = 'late'
    room = 'room'
    ticket = 'ticket'
    invalid = 'invalid'


@dataclass(frozen=True, slots=True)
class MinionState:
    """Runs of a minion; ``clock_ms`` is its own steady clock."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[RunEnd, ...]


@dataclass(frozen=True, slots=True)
class Started:
    """The run is present."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The call did nothing, now or later."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Unhealthy:
    """The minion did nothing and may accept the call later."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """The run is stopping, or will be refused if it arrives."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """Another incarnation answered; the intended one is gone."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call may have been carried out, or may be seconds later."""

    reason: str


@dataclass(frozen=True, slots=True)
class StartRequest:
    """A run to start; ``lease_end_ms`` is a time of the minion's clock."""

    task: str
    run: int
    payload: str
    checkpoint: str
    lease_end_ms: int


class MinionClient(ABC):
    """Calls to one incarnation of a minion."""

    @abstractmethod
    async def look(
        self, token: int, seen_up_to: int, lease_end_ms: int, wait_ms: int
    ) -> MinionState | OtherIncarnation | Unhealthy | NoAnswer:
        """Extend the lease and return the runs.

        Parameters
        ----------
        token : int
            Fencing token.
        seen_up_to : int
            Ends up to this number are forgotten by the minion.
        lease_end_ms : int
            Time of the minion's clock; 0 extends nothing.
        wait_ms : int
            How long the minion may wait for an end.
        """

    @abstractmethod
    async def start(
        self, request: StartRequest, token: int
    ) -> Started | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Start a run; repeated calls for one run are harmless."""

    @abstractmethod
    async def stop(
        self, task: str, run: int, token: int
    ) -> Stopped | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Stop a run; one that arrives later is refused."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""
