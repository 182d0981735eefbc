"""Metrics of the processes that accept, schedule and run jobs."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ('JobMetrics', 'LabelledGauge')

_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
_LOAD_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32)


@dataclass(frozen=True, slots=True)
class LabelledGauge:
    """A gauge with a series for each value of a label.

    Parameters
    ----------
    name : str
        Name of the series without the prefix of the program.
    readings : mapping of str to float
        Current values by value of the label; empty for no series.
    """

    name: str
    description: str
    label: str
    readings: Mapping[str, float]


class JobMetrics:
    """All time series of one process.

    Parameters
    ----------
    node : str
        Name of the process, a constant label.
    read_gauges : callable
        Returns the current value of each gauge; called by each ``render``.
    read_evacuations : callable, optional
        Returns the runs left in each data centre that is evacuated. Called by
        each ``render``.
    read_labelled_gauges : callable, optional
        Returns the gauges with labels; called by each ``render``.
    """

    def __init__(
        self,
        node: str,
        read_gauges: Callable[[], Mapping[str, float]],
        read_evacuations: Callable[[], Mapping[str, int]] = dict,
        read_labelled_gauges: Callable[[], Iterable[LabelledGauge]] = tuple,
    ) -> None:
        """Create the time series."""
        labels = {'node': node}
        self._read_gauges = read_gauges
        self._read_evacuations = read_evacuations
        self._read_labelled_gauges = read_labelled_gauges
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
        self._load_duration = Histogram(
            'dragonflynotch_load_seconds',
            'Time that a new holder of the lease takes to load the rows.',
            const_labels=labels,
            registry=self._registry,
            buckets=_LOAD_BUCKETS_S,
        )
        self._gauges: dict[str, Gauge] = {}

    def count_call(self, method: str, status: int, duration_s: float) -> None:
        """Count a call and record its duration, in seconds."""
        self._calls.inc({'method': method, 'status': str(status)})
        self._latency.observe({'method': method}, duration_s)

    def record_round(self, duration_s: float) -> None:
        """Record how long the decisions of a round took, in seconds."""
        self._round_duration.observe({}, duration_s)

    def record_load(self, duration_s: float) -> None:
        """Record how long a completed load took, in seconds."""
        self._load_duration.observe({}, duration_s)

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
        labelled = (
            LabelledGauge(
                'evacuation_runs',
                'Runs left in a data centre that is evacuated.',
                'data_centre',
                self._read_evacuations(),
            ),
            *self._read_labelled_gauges(),
        )
        return bytes(content) + b''.join(map(self._render_labelled, labelled))

    def _render_labelled(self, labelled: LabelledGauge) -> bytes:
        """Return a series for each reading, or nothing without any."""
        if not labelled.readings:
            return b''
        # Series cannot be removed from a registry once there is no reading.
        registry = Registry()
        gauge = Gauge(
            f'dragonflynotch_{labelled.name}',
            labelled.description,
            const_labels=self._labels,
            registry=registry,
        )
        for label_value, reading in labelled.readings.items():
            gauge.set({labelled.label: label_value}, reading)
        content, _ = render(registry, [])
        return bytes(content)
