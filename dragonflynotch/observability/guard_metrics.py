"""Metrics of a guard, rendered in the Prometheus text format."""

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ('GuardMetrics',)

_GAUGE_HELP = {
    'ready': 'Whether the guard takes new work (1 or 0).',
    'free_slots': 'Requests that the minion can take now.',
    'worker_present': 'Whether the worker answered lately (1 or 0).',
    'free_accelerators': 'Accelerators of the worker without a member.',
    'highest_fence': 'Highest fence seen in an order, 0 if none.',
    'configuration_revision': 'Revision of the copy of the configuration.',
}


class GuardMetrics:
    """All time series of one guard.

    Parameters
    ----------
    guard_id, data_centre : str
        Constant labels.
    read_gauges : callable
        Returns the current value of each gauge; called by each ``render``.
    """

    def __init__(
        self,
        guard_id: str,
        data_centre: str,
        read_gauges: Callable[[], Mapping[str, int]],
    ) -> None:
        """Create the time series."""
        labels = {'guard': guard_id, 'data_centre': data_centre}
        self._read_gauges = read_gauges
        self._registry = Registry()
        self._attempts = Counter(
            'dragonflynotch_guard_attempts_total',
            'Handed-over requests by outcome.',
            const_labels=labels,
            registry=self._registry,
        )
        self._gauges = {
            name: Gauge(
                f'dragonflynotch_guard_{name}',
                text,
                const_labels=labels,
                registry=self._registry,
            )
            for name, text in _GAUGE_HELP.items()
        }

    def count_request(self, outcome: str) -> None:
        """Count a request that an entry handed over to the guard.

        Parameters
        ----------
        outcome : str
            ``'answered'``, ``'refused'`` or ``'unknown'``.
        """
        self._attempts.inc({'outcome': outcome})

    def render(self) -> bytes:
        """Return all series in the Prometheus text format."""
        for name, reading in self._read_gauges().items():
            # The text format accepts only numbers; a bool would be rendered
            # as True or False.
            self._gauges[name].set({}, int(reading))
        content, _ = render(self._registry, [])
        return bytes(content)
