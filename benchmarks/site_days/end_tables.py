"""Tables of the ends that plays did not record, and of what was repeated."""

import statistics
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from benchmarks.site_days.play_ends import PlayEnds
from benchmarks.site_days.played_ends import EndPlace, PlayedEnd
from benchmarks.site_days.repeated_runs import Repeat

__all__ = ('format_delays', 'format_end_summary', 'format_ends')

_PERCENT = 100
_MIN_QUANTILE_COUNT = 2
_SUMMARY_COLUMNS = (
    'play',
    'ends',
    'lost',
    'lost as done',
    *(f'in {place.value}' for place in EndPlace if place != EndPlace.recorded),
    'no record logged',
    'of ended jobs',
    'repeats',
    'repeated, s',
)
_END_COLUMNS = ('task', 'run', 'kind', 'since', 'reported', 'lost', 'last in')
_REPEAT_COLUMNS = (
    'task',
    'run',
    'done',
    'ordered',
    'at work from',
    'to',
    'ended as',
    'repeated, s',
)


@dataclass(slots=True)
class _Delays:
    """Durations of one leg, in seconds."""

    name: str
    seconds: list[float] = field(default_factory=list)

    def cells(self) -> Iterator[str]:
        """Yield the count, the median, the 90th percentile and the most."""
        yield self.name
        yield str(len(self.seconds))
        if not self.seconds:
            yield from ('', '', '')
            return
        yield f'{statistics.median(self.seconds):.3f}'
        yield f'{_percentile(self.seconds, 90):.3f}'
        yield f'{max(self.seconds):.3f}'


def format_end_summary(plays: Mapping[str, PlayEnds]) -> Iterator[str]:
    """Yield a table of plays with the counts of their ends and repeats."""
    yield from _format_header(_SUMMARY_COLUMNS)
    for name, play in plays.items():
        yield _format_row((name, *_summary_cells(play)))


def format_ends(play: PlayEnds) -> Iterator[str]:
    """Yield tables of the ends that were lost or stayed open, and repeats."""
    if play.lost or play.open:
        yield from _format_header(_END_COLUMNS)
        for end in (*play.lost, *play.open):
            yield _format_row(_end_cells(end))
    if play.repeats:
        yield from _format_header(_REPEAT_COLUMNS)
        for repeat in play.repeats:
            yield _format_row(_repeat_cells(repeat))


def format_delays(ends: Sequence[PlayedEnd]) -> Iterator[str]:
    """Yield a table of how long ends took from one place to the next."""
    unseen = _Delays('before the poll, at most')
    to_report = _Delays('poll to written report')
    to_record = _Delays('written report to record')
    total = _Delays('poll to record')
    for end in ends:
        if end.unseen_s is not None:
            unseen.seconds.append(end.unseen_s)
        if end.reported_s is not None:
            to_report.seconds.append(end.reported_s - end.read_s)
        if end.recorded_s is None:
            continue
        total.seconds.append(end.recorded_s - end.read_s)
        if end.reported_s is not None:
            to_record.seconds.append(end.recorded_s - end.reported_s)
    yield from _format_header(('leg', 'ends', 'median s', 'p90 s', 'most s'))
    for delays in (unseen, to_report, to_record, total):
        yield _format_row(delays.cells())


def _summary_cells(play: PlayEnds) -> Iterator[str]:
    lost = play.lost
    places = Counter(end.place for end in lost)
    yield str(len(play.ends))
    yield str(len(lost))
    yield str(sum(end.is_done for end in lost))
    for place in EndPlace:
        if place != EndPlace.recorded:
            yield str(places[place])
    yield str(len(play.open))
    yield str(len(play.needless))
    yield str(len(play.repeats))
    yield f'{sum(repeat.wasted_s for repeat in play.repeats):.1f}'


def _end_cells(end: PlayedEnd) -> Iterator[str]:
    yield end.task
    yield str(end.run)
    yield end.kind
    yield _format_time(end.read_s)
    yield _format_time(end.reported_s)
    yield _format_time(end.lost_s)
    yield end.place.value


def _repeat_cells(repeat: Repeat) -> Iterator[str]:
    run = repeat.run
    yield repeat.task
    yield str(repeat.number)
    yield _format_time(repeat.done.read_s)
    yield _format_time(run.ordered_s)
    yield _format_time(run.started_s)
    yield _format_time(run.ended_s)
    yield run.ended_as or 'at work'
    yield f'{repeat.wasted_s:.1f}'


def _format_time(at_s: float | None) -> str:
    return '' if at_s is None else f'{at_s:.3f}'


def _format_header(columns: Sequence[str]) -> Iterator[str]:
    yield _format_row(columns)
    yield '|---' * len(columns) + '|'


def _format_row(cells: Sequence[str] | Iterator[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _percentile(seconds: Sequence[float], percent: int) -> float:
    if len(seconds) < _MIN_QUANTILE_COUNT:
        return max(seconds)
    cuts = statistics.quantiles(seconds, n=_PERCENT, method='inclusive')
    return cuts[percent - 1]
