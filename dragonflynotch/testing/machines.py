"""Stand-in for the platform's list of machines."""

from dataclasses import dataclass

from dragonflynotch.control.machines import MachineDirectory, MachineList
from dragonflynotch.core.errors import PlatformUnavailableError

__all__ = ('MemoryMachineDirectory', 'SiteMachine')


@dataclass(frozen=True, slots=True)
class SiteMachine:
    """Entry of a machine; ``minion_id`` is ``''`` while it has no minion."""

    name: str
    service: str
    minion_id: str = ''

    @property
    def is_up(self) -> bool:
        """Whether the machine has a minion."""
        return bool(self.minion_id)


class MemoryMachineDirectory(MachineDirectory):
    """List of machines in memory.

    Attributes
    ----------
    is_available : bool
        Whether calls succeed.
    call_count : int
        Calls so far.
    """

    def __init__(self) -> None:
        """Create a list without machines."""
        self._machines: dict[str, SiteMachine] = {}
        self.is_available = True
        self.call_count = 0

    @property
    def machines(self) -> tuple[SiteMachine, ...]:
        """All entries in the order of their names."""
        return tuple(self._machines[name] for name in sorted(self._machines))

    def start(self, name: str, service: str, minion_id: str) -> None:
        """Add a machine, or give it its next minion."""
        self._machines[name] = SiteMachine(name, service, minion_id)

    def power_off(self, name: str) -> None:
        """End the minion of a machine, which stays in the list."""
        machine = self._machines[name]
        self._machines[name] = SiteMachine(machine.name, machine.service)

    def remove(self, name: str) -> None:
        """Remove a machine for good."""
        del self._machines[name]

    async def list_minions(self) -> MachineList:
        """Return the current minions by service."""
        self.call_count += 1
        if not self.is_available:
            raise PlatformUnavailableError('list of machines is unavailable')
        minions: dict[str, frozenset[str]] = {}
        for machine in self.machines:
            listed = minions.get(machine.service, frozenset())
            if machine.is_up:
                listed |= {machine.minion_id}
            minions[machine.service] = listed
        return MachineList(minions)
