"""What the platform knows about the machines of the workers."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from dragonflynotch.control.incarnations import Incarnation

__all__ = ('MachineDirectory', 'MachineList', 'NoMachineDirectory')


@dataclass(frozen=True, slots=True)
class MachineList:
    """The minions that live, according to a complete answer of the platform.

    Parameters
    ----------
    minions : mapping of str to frozenset of str
        Identifiers of the minions by service, without their incarnations. A
        service whose machines are all without a minion has an empty set.
    """

    minions: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def has_minion(self, incarnation_id: str) -> bool:
        """Return whether the minion is listed for any service."""
        return any(
            self.has_minion_of(service, incarnation_id)
            for service in self.minions
        )

    def has_minion_of(self, service: str, incarnation_id: str) -> bool:
        """Return whether the minion is listed for a service."""
        minion_id = Incarnation.parse(incarnation_id).minion_id
        return minion_id in self.minions_of(service)

    def minions_of(self, service: str) -> frozenset[str]:
        """Return the listed minions of a service."""
        return self.minions.get(service, frozenset())


class MachineDirectory(ABC):
    """List of the machines, which the platform keeps."""

    @abstractmethod
    async def list_minions(self) -> MachineList:
        """Return the minions that lived at some time during the call.

        Raises
        ------
        PlatformUnavailableError
            If the list is not complete or has an entry that cannot be read.
        """


class NoMachineDirectory(MachineDirectory):
    """Directory of a deployment that has none; it knows no machine."""

    async def list_minions(self) -> MachineList:
        """Return a list without services, which proves nothing."""
        return MachineList()
