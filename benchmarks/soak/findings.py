"""What a run found, and when it was calm."""

from dataclasses import dataclass, field

from dragonflynotch.control.clocks import SteadyClock

__all__ = ('Finding', 'Timeline')

_MS_PER_S = 1000
# A process or a minion counts as sound this long after a fault.
_CONTACT_S = 4.0


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise."""

    at_s: float
    promise: str
    detail: str

    def __str__(self) -> str:
        """Return the line that is printed."""
        return f'{self.at_s:6.2f} s {self.promise}: {self.detail}'


@dataclass(slots=True)
class Timeline:
    """Times of faults, starts and findings, in seconds of the run."""

    clock: SteadyClock
    origin_ms: int = 0
    faults: list[tuple[float, float, str]] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    # Time of acceptance and seconds until the first start.
    waits: list[tuple[float, float]] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    _open_faults: dict[int, tuple[float, str]] = field(default_factory=dict)
    _next_fault: int = 0

    def begin(self) -> None:
        """Start to count the seconds of the run."""
        self.origin_ms = self.clock.now_ms()

    def now_s(self) -> float:
        """Return the seconds of the run."""
        return (self.clock.now_ms() - self.origin_ms) / _MS_PER_S

    def fault_begins(self, name: str) -> int:
        """Take note of a fault and return its number."""
        self._next_fault += 1
        self._open_faults[self._next_fault] = (self.now_s(), name)
        return self._next_fault

    def fault_ends(self, number: int) -> None:
        """Take note that a fault is over."""
        began_s, name = self._open_faults.pop(number)
        self.faults.append((began_s, self.now_s(), name))

    def is_calm(
        self, from_s: float, until_s: float, apart_from: str = ''
    ) -> bool:
        """Return whether no fault was near that could excuse a delay.

        Parameters
        ----------
        apart_from : str
            Kind of fault that is no excuse.
        """
        spans = list(self.faults)
        spans.extend(
            (began_s, until_s, name)
            for began_s, name in self._open_faults.values()
        )
        return not any(
            began_s <= until_s
            and end_s + _CONTACT_S >= from_s
            and name != apart_from
            for began_s, end_s, name in spans
        )

    def find(self, promise: str, detail: str) -> None:
        """Print and keep a broken promise."""
        finding = Finding(self.now_s(), promise, detail)
        self.findings.append(finding)
        print('FINDING', finding, flush=True)
