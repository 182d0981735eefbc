"""Admission of guarantees on the topology that this entry knows."""

from collections.abc import Callable, Mapping

from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.entry.configuration import GuaranteeAdmission

__all__ = ('TopologyAdmission',)


class TopologyAdmission(GuaranteeAdmission):
    """Places all guarantees of each data centre at the same time.

    Parameters
    ----------
    guards : callable
        Returns the live guards by data centre.
    """

    def __init__(
        self, guards: Callable[[], Mapping[str, tuple[GuardInfo, ...]]]
    ) -> None:
        """Decide on what ``guards`` returns."""
        self._guards = guards

    def refusal(self, guarantees: Mapping[str, tuple[Guarantee, ...]]) -> str:
        """Return why the guarantees by data centre do not fit, or ``''``."""
        known = self._guards()
        for data_centre, wanted in guarantees.items():
            workers = [
                guard.worker
                for guard in known.get(data_centre, ())
                if guard.worker is not None
            ]
            total = sum(worker.accelerators for worker in workers)
            needed = sum(guarantee.shape.accelerators for guarantee in wanted)
            if needed > total:
                return (
                    f'data centre {data_centre!r} has {total} accelerators, '
                    f'guarantees need {needed}'
                )
        return ''
