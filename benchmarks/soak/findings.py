"""Findings of a run, and the times of its faults."""

from dataclasses import dataclass, field

from dragonflynotch.control.clocks import SteadyClock

__all__ = ('Finding', 'Timeline')

_MS_PER_S = 1000
# Processes and minions count as recovered this long after a fault.
_RECOVERY_S = 4.0


@dataclass(frozen=True, slots=True)
class Finding:
    """A violated invariant."""

    time_s: float
    invariant: str
    detail: str

    def __str__(self) -> str:
        """Return the line to print."""
        return f'{self.time_s:6.2f} s {self.invariant}: {self.detail}'


@dataclass(slots=True)
class Timeline:
    """Faults, task starts, waits and findings, in seconds since the start."""

    clock: SteadyClock
    origin_ms: int = 0
    faults: list[tuple[float, float, str]] = field(default_factory=list)
    start_times_s: list[float] = field(default_factory=list)
    # Time of acceptance of a job and seconds until its first task started.
    waits: list[tuple[float, float]] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    _open_faults: dict[int, tuple[float, str]] = field(default_factory=dict)
    _last_fault_number: int = 0

    def start(self) -> None:
        """Set the origin of all times to now."""
        self.origin_ms = self.clock.now_ms()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return (self.clock.now_ms() - self.origin_ms) / _MS_PER_S

    def begin_fault(self, name: str) -> int:
        """Record the begin of a fault and return its number."""
        self._last_fault_number += 1
        self._open_faults[self._last_fault_number] = (self.now_s(), name)
        return self._last_fault_number

    def end_fault(self, number: int) -> None:
        """Record the end of a fault."""
        begin_s, name = self._open_faults.pop(number)
        self.faults.append((begin_s, self.now_s(), name))

    def is_fault_free(
        self, from_s: float, until_s: float, ignored_kind: str = ''
    ) -> bool:
        """Return whether a period is free of faults that could explain a delay.

        A fault counts until the processes have recovered from it.

        Parameters
        ----------
        ignored_kind : str
            Kind of fault that is left out.
        """
        spans = list(self.faults)
        spans.extend(
            (begin_s, until_s, name)
            for begin_s, name in self._open_faults.values()
        )
        return not any(
            begin_s <= until_s
            and end_s + _RECOVERY_S >= from_s
            and name != ignored_kind
            for begin_s, end_s, name in spans
        )

    def add_finding(self, invariant: str, detail: str) -> None:
        """Print and store a violated invariant."""
        finding = Finding(self.now_s(), invariant, detail)
        self.findings.append(finding)
        print('FINDING', finding, flush=True)
