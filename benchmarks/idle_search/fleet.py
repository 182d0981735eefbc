"""The simulated fleet: machines with a minion and a guard, and their faults."""

from dataclasses import dataclass, field
from itertools import count
from random import Random

from benchmarks.idle_search.days import Day
from benchmarks.idle_search.faults import FaultKind, MachineFault, Return
from benchmarks.idle_search.guard_condition import GuardCondition
from benchmarks.idle_search.guards import Guard
from benchmarks.idle_search.machine_specs import MachineSpec
from benchmarks.idle_search.minions import Minion, RunBook
from benchmarks.idle_search.store import Store
from dragonflynotch.workflows.records import EndKind, Order
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.runs.order_registry import OrderKey

__all__ = ('Fleet', 'Machine')

_HEARTBEAT_MS = 1500


@dataclass(slots=True)
class Machine:
    """A machine.

    Parameters
    ----------
    minion : Minion
        Current incarnation, or the last one while none is up.
    guard : Guard
        Its guard, which runs while the machine has power.
    """

    number: int
    spec: MachineSpec
    minion: Minion
    guard: Guard
    random: Random
    has_power: bool = True
    is_minion_up: bool = True
    faults: list[MachineFault] = field(default_factory=list)

    @property
    def is_up(self) -> bool:
        """Whether runs can be on its minion."""
        return self.has_power and self.is_minion_up

    def apply_conditions(self, now_ms: int) -> None:
        """Apply the faults that last for some time."""
        if not self.faults:
            return
        active = {
            fault.kind: fault
            for fault in self.faults
            if fault.start_ms <= now_ms < fault.end_ms
        }
        shrunk = active.get(FaultKind.shrunk)
        late = active.get(FaultKind.late)
        silent = active.get(FaultKind.silent)
        self.minion.is_failing = FaultKind.bad in active
        self.minion.capacity = _shrink(
            self.spec.capacity, 1 if shrunk is None else shrunk.size
        )
        self.guard.condition = GuardCondition(
            is_down=FaultKind.guard_restart in active,
            may_report=silent is None,
            hears_orders=silent is None or bool(silent.size),
            is_refused=FaultKind.refusing in active,
            report_delay_ms=self._delay_ms(late),
            order_delay_ms=self._delay_ms(late),
        )

    def _delay_ms(self, late: MachineFault | None) -> int:
        return 0 if late is None else self.random.randint(1, int(late.size))


class Fleet:
    """All machines of a day.

    Parameters
    ----------
    book : RunBook
        Book of all runs.
    """

    def __init__(self, day: Day, store: Store, book: RunBook) -> None:
        """Create machines that are all up."""
        self._day = day
        self._store = store
        self._book = book
        self._incarnations = count()
        self._pending_faults = [
            fault
            for fault in day.faults
            if fault.kind in {FaultKind.lost, FaultKind.crash}
        ]
        self._returns: list[tuple[int, MachineFault]] = []
        self._by_minion: dict[str, Machine] = {}
        # Time at which the machine of an incarnation lost power.
        self.lost_ms: dict[str, int] = {}
        # Time at which an incarnation crashed.
        self.crashed_ms: dict[str, int] = {}
        self.machines = [
            self._create(number, spec, f'n{number}')
            for number, spec in enumerate(day.machines)
        ]
        # Machines by their number in the day; the later of two with one number.
        self._current = {machine.number: machine for machine in self.machines}
        for machine in self.machines:
            machine.faults = [
                fault
                for fault in day.faults
                if fault.machine == machine.number
                and fault not in self._pending_faults
            ]

    def find(self, minion_id: str) -> Machine:
        """Return the machine of an incarnation."""
        return self._by_minion[minion_id]

    def send_order(
        self, now_ms: int, key: OrderKey, order: Order | None
    ) -> None:
        """Send a change of an order to the guard of its machine."""
        minion_id, task = key
        guard = self._by_minion[minion_id].guard
        guard.receive_order(minion_id, task, order, now_ms)

    def advance(self, now_ms: int) -> None:
        """Apply faults, end runs that are due, and let the guards work."""
        self._apply_returns(now_ms)
        while self._pending_faults and (
            self._pending_faults[0].start_ms <= now_ms
        ):
            self._begin(self._pending_faults.pop(0), now_ms)
        for machine in self.machines:
            if machine.has_power:
                self._advance_machine(machine, now_ms)

    def _advance_machine(self, machine: Machine, now_ms: int) -> None:
        machine.apply_conditions(now_ms)
        has_ended_runs = False
        if machine.is_minion_up:
            self._expire_lease(machine, now_ms)
            has_ended_runs = machine.minion.advance(now_ms)
            if not (now_ms + machine.number * 100) % _HEARTBEAT_MS:
                machine.guard.read_heartbeat()
        machine.guard.advance(now_ms, has_ended_runs=has_ended_runs)

    def _expire_lease(self, machine: Machine, now_ms: int) -> None:
        end_ms = machine.guard.authority_end_ms
        if end_ms and now_ms >= end_ms:
            machine.minion.end_all(EndKind.lapsed, now_ms)

    # ---- crashes and lost machines -----------------------------------------

    def _begin(self, fault: MachineFault, now_ms: int) -> None:
        machine = self._current[fault.machine]
        if not machine.is_up:
            return
        machine.minion.vanish()
        if fault.kind is FaultKind.crash:
            machine.is_minion_up = False
            machine.guard.observe_crash(now_ms)
            self.crashed_ms[machine.minion.minion_id] = now_ms
        else:
            machine.has_power = False
            self.lost_ms[machine.minion.minion_id] = now_ms
        if fault.kind is FaultKind.crash or fault.returns is not Return.never:
            self._returns.append((fault.end_ms, fault))

    def _apply_returns(self, now_ms: int) -> None:
        due = [entry for entry in self._returns if entry[0] <= now_ms]
        for entry in due:
            self._returns.remove(entry)
            self._return(entry[1])

    def _return(self, fault: MachineFault) -> None:
        machine = self._current[fault.machine]
        if fault.kind is FaultKind.crash:
            if machine.has_power and not machine.is_minion_up:
                machine.minion = self._create_minion(machine.spec, machine)
                machine.is_minion_up = True
                machine.guard.replace_minion(machine.minion)
        elif machine.has_power:
            return
        elif fault.returns is Return.same_node:
            machine.minion = self._create_minion(machine.spec, machine)
            machine.has_power = True
            machine.is_minion_up = True
            machine.guard.restart(machine.minion)
        else:
            node = f'{machine.guard.node}b'
            replacement = self._create(machine.number, machine.spec, node)
            replacement.faults = machine.faults
            self._current[machine.number] = replacement
            self.machines.append(replacement)

    def _create(self, number: int, spec: MachineSpec, node: str) -> Machine:
        minion = self._create_minion(spec)
        machine = Machine(
            number,
            spec,
            minion,
            Guard(node, spec.rack, ('a', *spec.labels), minion, self._store),
            Random(f'{self._day.seed}/{node}'),
        )
        self._by_minion[minion.minion_id] = machine
        return machine

    def _create_minion(
        self, spec: MachineSpec, machine: Machine | None = None
    ) -> Minion:
        minion = Minion(
            f'm{next(self._incarnations)}', spec.rack, spec.capacity, self._book
        )
        if machine is not None:
            self._by_minion[minion.minion_id] = machine
        return minion


def _shrink(capacity: Resources, share: float) -> Resources:
    if share == 1:
        return capacity
    return Resources(
        int(capacity.millicores * share),
        int(capacity.memory_mb * share),
        int(capacity.accelerators * share),
    )
