"""Intervals in which a job had no run although most of the room was free."""

from dataclasses import dataclass, field

from benchmarks.site_days.room import Use

__all__ = ('UnusedSpans',)

# Use of the minions' room below which a job that could run is not to wait.
_MAX_IDLE_USE = 0.5


@dataclass(slots=True)
class _Span:
    """Longest interval in which a condition held without a break."""

    longest_s: float = 0
    began_s: float | None = None

    def update(self, at_s: float, *, holds: bool) -> None:
        """Record whether the condition holds from this time on."""
        if self.began_s is not None:
            self.longest_s = max(self.longest_s, at_s - self.began_s)
        if not holds:
            self.began_s = None
        elif self.began_s is None:
            self.began_s = at_s


@dataclass(slots=True)
class UnusedSpans:
    """Longest intervals with room for a task twice and little use.

    Which resource the users count is not known, so each is followed.

    Parameters
    ----------
    every : _Span
        Each resource was used below half.
    cores, memory, accelerators : _Span
        This resource was used below half.
    """

    every: _Span = field(default_factory=_Span)
    cores: _Span = field(default_factory=_Span)
    memory: _Span = field(default_factory=_Span)
    accelerators: _Span = field(default_factory=_Span)

    @property
    def longest_s(self) -> float:
        """Longest time for any resource."""
        return max(
            self.cores.longest_s,
            self.memory.longest_s,
            self.accelerators.longest_s,
        )

    def update(self, at_s: float, use: Use, *, could_run: bool) -> bool:
        """Record the use from this time on.

        Returns
        -------
        bool
            Whether the job could run and each resource is used below half.
        """
        for span, share in (
            (self.every, use.most),
            (self.cores, use.cores),
            (self.memory, use.memory),
            (self.accelerators, use.accelerators),
        ):
            span.update(at_s, holds=could_run and share < _MAX_IDLE_USE)
        return self.every.began_s is not None
