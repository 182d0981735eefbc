"""Metrics of an entry, rendered in the Prometheus text format."""

from datetime import timedelta

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ('EntryMetrics', 'LATENCY_BUCKETS_S')

LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    30,
    60,
)


class EntryMetrics:
    """All time series of one entry.

    Each entry has its own registry, because in embedded mode several entries
    run in one process.
    """

    def __init__(self, entry_id: str, data_centre: str) -> None:
        """Create the time series with constant labels."""
        labels = {'entry': entry_id, 'data_centre': data_centre}
        self._registry = Registry()
        self._requests = Counter(
            'dragonflynotch_requests_total',
            'Requests by workspace, class and outcome.',
            const_labels=labels,
            registry=self._registry,
        )
        self._latency = Histogram(
            'dragonflynotch_request_seconds',
            'Time from receipt to answer of answered requests, in seconds.',
            const_labels=labels,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._gauges = {
            name: Gauge(
                f'dragonflynotch_{name}',
                text,
                const_labels=labels,
                registry=self._registry,
            )
            for name, text in _GAUGE_HELP.items()
        }

    def count_request(
        self,
        workspace: str,
        request_class: str,
        outcome: str,
        duration: timedelta,
    ) -> None:
        """Count a request and, if it was answered, record its latency.

        Parameters
        ----------
        workspace, request_class : str
            Labels of the request.
        outcome : str
            ``'answered'``, ``'not_run'``, ``'rejected'`` or ``'unknown'``.
        duration : timedelta
            Time from receipt to answer.
        """
        labels = {'workspace': workspace, 'request_class': request_class}
        self._requests.inc({**labels, 'outcome': outcome})
        if outcome == 'answered':
            self._latency.observe(labels, duration.total_seconds())

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge; docs/OPERATIONS.md lists the names."""
        self._gauges[name].set({}, value)

    def render(self) -> bytes:
        """Return all series in the Prometheus text format."""
        content, _ = render(self._registry, [])
        return bytes(content)


_GAUGE_HELP = {
    'live_guards': 'Guards within their time to live.',
    'live_entries': 'Other entries heard within 3 s.',
    'configuration_revision': 'Revision of the configuration in force.',
    'table_reachable': 'Whether the table service answered last (1 or 0).',
    'owned_fence': 'Fence of the owned partition, 0 if none.',
    'waiting_jobs': 'Jobs waiting in the owned partition.',
    'running_jobs': 'Jobs running in the owned partition.',
}
