"""Checks that guarantees fit on the workers that this entry knows."""

from collections.abc import Callable, Mapping

from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.guarantees import NotAdmitted, admit_guarantees
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.core.placement import FragmentationAwarePlacer, Placer
from dragonflynotch.entry.configuration.configuration_service import (
    GuaranteeAdmission,
)

__all__ = ('TopologyAdmission',)


class TopologyAdmission(GuaranteeAdmission):
    """Admits guarantees if all of a data centre can be placed together.

    Parameters
    ----------
    guards : callable
        Returns the live guards by data centre.
    placer : Placer or None
        Chooses accelerators; a ``FragmentationAwarePlacer`` by default.
    """

    def __init__(
        self,
        guards: Callable[[], Mapping[str, tuple[GuardInfo, ...]]],
        placer: Placer | None = None,
    ) -> None:
        """Create an admission check on the workers of ``guards``."""
        self._guards = guards
        self._placer = placer or FragmentationAwarePlacer()

    def refusal_reason(
        self, guarantees: Mapping[str, tuple[Guarantee, ...]]
    ) -> str:
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
                    f'guarantees do not fit in {data_centre!r} with '
                    f'{len(workers)} live workers: {verdict.reason}'
                )
        return ''
