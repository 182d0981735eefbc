"""Recent crashes of the minion of one guard, for its reports."""

from collections.abc import Callable, Iterable

from msgspec.structs import replace

from dragonflynotch.workflows.crash_records import MinionCrash

__all__ = ('CrashHistory',)

# A crash is reported at least this long, so that also a scheduler that takes
# over meanwhile reads it.
_RETENTION_MS = 60_000
_MAX_CRASHES = 8


class CrashHistory:
    """Crashes to report, the latest last."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._crashes: dict[str, MinionCrash] = {}
        # A restored crash of a minion that may respond again.
        self._uncertain: MinionCrash | None = None
        self._total = 0

    @property
    def total(self) -> int:
        """Number of crashes since the creation, without restored ones."""
        return self._total

    def add(self, crash: MinionCrash | None) -> None:
        """Add a crash, if any, unless that of this incarnation is known."""
        if crash is not None and crash.minion_id not in self._crashes:
            self._crashes[crash.minion_id] = crash
            self._total += 1

    def restore(self, crashes: Iterable[MinionCrash]) -> None:
        """Add the crashes that an earlier guard process reported."""
        for crash in crashes:
            if crash.is_certain:
                self._crashes.setdefault(crash.minion_id, crash)
            else:
                self._uncertain = crash

    def confirm_replaced(self, minion_id: str) -> None:
        """Add a restored crash that is certain now.

        Parameters
        ----------
        minion_id : str
            Incarnation that responds.
        """
        uncertain = self._uncertain
        self._uncertain = None
        if uncertain is not None and uncertain.minion_id != minion_id:
            self.add(replace(uncertain, is_certain=True))

    def recent(
        self, now_ms: int, has_orders: Callable[[str], bool]
    ) -> list[MinionCrash]:
        """Return the crashes to report and forget the others.

        Parameters
        ----------
        now_ms : int
            Current store time.
        has_orders : callable
            Whether an incarnation still has orders. Their runs have not been
            recorded as lost, so its crash must be reported.
        """
        kept = [
            crash
            for crash in self._crashes.values()
            if now_ms - crash.at_ms < _RETENTION_MS
            or has_orders(crash.minion_id)
        ][-_MAX_CRASHES:]
        self._crashes = {crash.minion_id: crash for crash in kept}
        return kept
