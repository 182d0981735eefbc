"""Metrics of the processes that accept, schedule and run jobs."""

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from dragonflynotch.workflows.ordering.shares import WorkspaceShare

__all__ = ('JobMetrics',)

_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)


class JobMetrics:
    """All time series of one process.

    Parameters
    ----------
    node : str
        Name of the process, a constant label.
    read_gauges : callable
        Returns the current value of each gauge; called by each ``render``.
    """

    def __init__(
        self, node: str, read_gauges: Callable[[], Mapping[str, float]]
    ) -> None:
        """Create the time series."""
        labels = {'node': node}
        self._read_gauges = read_gauges
        self._registry = Registry()
        self._labels = labels
        self._calls = Counter(
            'dragonflynotch_calls_total',
            'Calls by method and status.',
            const_labels=labels,
            registry=self._registry,
        )
        self._latency = Histogram(
            'dragonflynotch_call_seconds',
            'Time from the whole request to its answer.',
            const_labels=labels,
            registry=self._registry,
            buckets=_BUCKETS_S,
        )
        self._round_duration = Histogram(
            'dragonflynotch_round_seconds',
            'Time that the decisions of one scheduling round take.',
            const_labels=labels,
            registry=self._registry,
            buckets=_BUCKETS_S,
        )
        self._shares = {
            kind: Gauge(
                f'dragonflynotch_workspace_{kind}_share',
                f'{kind.capitalize()} share of all resources by workspace.',
                const_labels=labels,
                registry=self._registry,
            )
            for kind in ('current', 'recent', 'entitled')
        }
        self._share_names: set[str] = set()
        self._gauges: dict[str, Gauge] = {}

    def count_call(self, method: str, status: int, duration_s: float) -> None:
        """Count a call and record its duration, in seconds."""
        self._calls.inc({'method': method, 'status': str(status)})
        self._latency.observe({'method': method}, duration_s)

    def record_round(self, duration_s: float) -> None:
        """Record how long the decisions of a round took, in seconds."""
        self._round_duration.observe({}, duration_s)

    def record_shares(self, shares: Mapping[str, WorkspaceShare]) -> None:
        """Record the shares of workspaces; those that are absent have none."""
        none = WorkspaceShare(0, 0, 0)
        self._share_names |= shares.keys()
        for name in self._share_names:
            share = shares.get(name, none)
            labels = {'workspace': name}
            self._shares['current'].set(labels, share.current)
            self._shares['recent'].set(labels, share.recent)
            self._shares['entitled'].set(labels, share.entitled)

    def render(self) -> bytes:
        """Return all series in the Prometheus text format."""
        for name, reading in self._read_gauges().items():
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = Gauge(
                    f'dragonflynotch_{name}',
                    name.replace('_', ' '),
                    const_labels=self._labels,
                    registry=self._registry,
                )
                self._gauges[name] = gauge
            gauge.set({}, float(reading))
        content, _ = render(self._registry, [])
        return bytes(content)
