"""Tables of the stretches in which jobs had no run."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from operator import itemgetter

from benchmarks.site_days.idle_jobs import IdleStretch
from benchmarks.site_days.log_entries import LogEntry
from benchmarks.site_days.played_jobs import PlayedStep
from benchmarks.site_days.wait_causes import WaitCause

__all__ = ('format_stretches', 'format_summary')

# Shorter times of a cause are left out.
_MIN_SHOWN_S = 0.05
_COLUMNS = (
    'job',
    'step',
    'tasks',
    'accepted',
    'waits from',
    'to',
    'unused s',
    'by cores/memory/accelerators',
    'least use',
    'most',
    'believed',
    'fit',
    'cause, s',
    'orders',
    'last wait',
    'details',
)
_SUMMARY_COLUMNS = (
    'cause',
    'stretches',
    'plays',
    'fits, s',
    'unused, s',
    'against the rule',
    'longest unused',
    'in',
)


def format_stretches(stretches: Iterable[IdleStretch]) -> Iterator[str]:
    """Return a table of stretches, one a line."""
    yield from _format_header(_COLUMNS)
    for stretch in stretches:
        yield f'| {" | ".join(_cells(stretch))} |'


def format_summary(
    stretches_by_play: Mapping[str, Sequence[IdleStretch]],
) -> Iterator[str]:
    """Return a table of the causes of stretches in which a step fitted."""
    found: dict[WaitCause, list[tuple[str, IdleStretch]]] = defaultdict(list)
    for play, stretches in stretches_by_play.items():
        for stretch in stretches:
            if stretch.facts.seconds:
                found[stretch.facts.cause].append((play, stretch))
    yield from _format_header(_SUMMARY_COLUMNS)
    unused_s = {
        cause: _total_unused(entries) for cause, entries in found.items()
    }
    for cause, _ in sorted(unused_s.items(), key=itemgetter(1), reverse=True):
        yield f'| {" | ".join(_summary_cells(cause, found[cause]))} |'


def _total_unused(entries: Sequence[tuple[str, IdleStretch]]) -> float:
    return sum(
        sum(stretch.facts.seconds_unused.values()) for _, stretch in entries
    )


def _summary_cells(
    cause: WaitCause, entries: Sequence[tuple[str, IdleStretch]]
) -> Iterator[str]:
    yield cause.value
    yield str(len(entries))
    yield str(len({play for play, _ in entries}))
    fits_s = sum(sum(stretch.facts.seconds.values()) for _, stretch in entries)
    yield f'{fits_s:.1f}'
    yield f'{_total_unused(entries):.1f}'
    yield str(sum(stretch.breaks_rule for _, stretch in entries))
    play, worst = max(
        entries, key=lambda entry: entry[1].unused.every.longest_s
    )
    yield f'{worst.unused.every.longest_s:.2f}'
    yield f'{play} at {worst.began_s:.1f}'


def _format_header(columns: Sequence[str]) -> Iterator[str]:
    yield f'| {" | ".join(columns)} |'
    yield '|---' * len(columns) + '|'


def _cells(stretch: IdleStretch) -> Iterator[str]:
    yield stretch.job.job_id
    yield str(stretch.step)
    yield _format_spec(stretch.spec)
    yield f'{stretch.job.accepted_s:.1f}'
    yield f'{stretch.began_s:.2f}'
    yield f'{stretch.ended_s:.2f}'
    yield from _unused_cells(stretch)
    least = stretch.least
    yield f'{least.cores:.2f}/{least.memory:.2f}/{least.accelerators:.2f}'
    yield f'{stretch.highest:.2f}'
    yield f'{stretch.facts.most_believed:.2f}'
    yield str(stretch.fewest_fit)
    yield _format_causes(stretch)
    yield _format_orders(stretch)
    yield _format_wait(stretch.last_wait)
    yield '; '.join(_details(stretch))


def _unused_cells(stretch: IdleStretch) -> Iterator[str]:
    unused = stretch.unused
    mark = ' !' if stretch.breaks_rule else ''
    yield f'{unused.every.longest_s:.2f}{mark}'
    spans = (unused.cores, unused.memory, unused.accelerators)
    yield '/'.join(f'{span.longest_s:.2f}' for span in spans)


def _format_causes(stretch: IdleStretch) -> str:
    facts = stretch.facts
    seconds = facts.seconds_unused or facts.seconds
    return (
        ', '.join(
            f'{cause.value} {time_s:.1f}'
            for cause, time_s in sorted(
                seconds.items(), key=itemgetter(1), reverse=True
            )
            if time_s >= _MIN_SHOWN_S
        )
        or facts.cause.value
    )


def _format_orders(stretch: IdleStretch) -> str:
    orders = stretch.facts.orders
    if not orders:
        return '0'
    return f'{orders.total()}, {max(orders.values())} on one minion'


def _details(stretch: IdleStretch) -> Iterator[str]:
    facts = stretch.facts
    yield from sorted(facts.details)
    if facts.takeovers:
        yield f'new leaders: {facts.takeovers}'
    if facts.backfilled_stops:
        yield f'backfill stopped: {facts.backfilled_stops}'


def _format_spec(spec: PlayedStep) -> str:
    kind = 'gang of ' if spec.is_gang else ''
    needs = f'{spec.millicores}/{spec.memory_mb}/{spec.accelerators}'
    return f'{kind}{spec.count} x {needs}'


def _format_wait(entry: LogEntry | None) -> str:
    if entry is None:
        return 'none'
    return (
        f'tier {entry.tier}, free {entry.fit_free}, '
        f'unreserved {entry.fit_unreserved}, of {entry.candidates}, '
        f'excluded {entry.fit_excluded}, avoided {len(entry.avoided)}, '
        f'report {entry.oldest_report_ms} ms'
    )
