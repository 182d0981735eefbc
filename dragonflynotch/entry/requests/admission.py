"""Admission of guarantees on the topology that this entry knows."""

from collections.abc import Callable, Mapping

from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.guarantees import NotAdmitted, admit_guarantees
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.core.placement import FragmentationAwarePlacer, Placer
from dragonflynotch.entry.configuration.in_force import GuaranteeAdmission

__all__ = ('TopologyAdmission',)


class TopologyAdmission(GuaranteeAdmission):
    """Places all guarantees of each data centre at the same time.

    Parameters
    ----------
    guards : callable
        Returns the live guards by data centre.
    placer : Placer or None
        Chooses the places.
    """

    def __init__(
        self,
        guards: Callable[[], Mapping[str, tuple[GuardInfo, ...]]],
        placer: Placer | None = None,
    ) -> None:
        """Decide on what ``guards`` returns."""
        self._guards = guards
        self._placer = placer or FragmentationAwarePlacer()

    def refusal(self, guarantees: Mapping[str, tuple[Guarantee, ...]]) -> str:
        """Return why the guarantees by data centre do not fit, or ``''``."""
        known = self._guards()
        for data_centre, wanted in guarantees.items():
            workers = [
                guard.worker
                for guard in known.get(data_centre, ())
                if guard.worker is not None
            ]
            verdict = admit_guarantees(wanted, workers, self._placer)
            if isinstance(verdict, NotAdmitted):
                return (
                    f'data centre {data_centre!r} with {len(workers)} live '
                    f'workers: {verdict.reason}'
                )
        return ''
