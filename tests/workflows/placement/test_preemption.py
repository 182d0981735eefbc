"""Choice of the runs that give way to a more urgent step."""

from msgspec.structs import replace

from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.placement.victim_search import VictimSearch
from dragonflynotch.workflows.progress import Job
from dragonflynotch.workflows.records import (
    EndKind,
    ProgressRow,
    decode_row,
    encode_row,
)
from dragonflynotch.workflows.resources import Resources
from tests.workflows.site import Site

NARROW = StepSpec(1, 1000, 1000, 1, 60_000)
WIDE_GANG = StepSpec(4, 8000, 8000, 8, 30_000, is_gang=True)


def stopped(site):
    return sorted(
        name for (_, name), order in site.orders.items() if order.is_stopped
    )


def fill(site, name, needs):
    """Submit one task that holds some accelerators of the next worker."""
    site.submit(name, 'batch', StepSpec(1, 1000, 1000, needs, 60_000))
    site.decide(advance_ms=1)
    return site.minion_of(f'{name}.0.0.0')


def test_victims_are_chosen_by_worker():
    """The runs that are cheapest one by one must not be chosen over a worker.

    Narrow runs cost little each; those of a whole worker together cost more
    than the one run of another worker.
    """
    site = Site(racks=('r1',) * 8)
    for number in range(4):
        site.submit(
            f'narrow{number}', 'batch', StepSpec(8, 1000, 1000, 1, 60_000)
        )
    site.decide()
    site.decide(advance_ms=1000)
    for number in range(4):
        fill(site, f'wide{number}', 8)
    site.submit('u', 'urgent', WIDE_GANG)
    site.decide(advance_ms=100)
    assert stopped(site) == [f'wide{number}.0.0.0' for number in range(4)]


def test_room_of_all_members_of_a_gang_counts():
    """Single runs must not be stopped if one gang frees enough for less."""
    site = Site(racks=('r1',) * 8)
    for number in range(4):
        fill(site, f's{number}', 8)
    gang = StepSpec(4, 1000, 1000, 8, 60_000, is_gang=True)
    site.submit('g', 'batch', gang)
    site.decide(advance_ms=500)
    site.submit('u', 'urgent', WIDE_GANG)
    site.decide(advance_ms=100)
    assert stopped(site) == [f'g.0.0.{number}' for number in range(4)]


def test_gang_gets_room_on_the_rack_where_it_costs_least():
    """A gang that wants one rack must not stop the runs of a dearer rack."""
    site = Site(racks=('r1',) * 4 + ('r2',) * 4)
    for number in range(8):
        fill(site, f'b{number}', 8)
        site.decide(advance_ms=500)
    site.submit('u', 'urgent', replace(WIDE_GANG, wants_one_rack=True))
    site.decide(advance_ms=100)
    assert stopped(site) == [f'b{number}.0.0.0' for number in range(4, 8)]


def test_run_with_checkpoints_is_stopped_before_unsaved_work():
    """Work that no checkpoint saves must not be lost if there is a choice."""
    site = Site(racks=('r1', 'r1'))
    saved = StepSpec(1, 1000, 1000, 8, 60_000, has_checkpoints=True)
    site.submit('saved', 'batch', saved)
    site.decide()
    site.decide(advance_ms=5000)
    site.submit('unsaved', 'batch', StepSpec(1, 1000, 1000, 8, 60_000))
    site.decide(advance_ms=1)
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 30_000))
    site.decide(advance_ms=3000)
    assert stopped(site) == ['saved.0.0.0']


def test_run_stopped_for_room_is_spared_next_time():
    """One job must not give way again and again beside equal ones."""
    site = Site(racks=('r1',) * 8)
    saved = StepSpec(1, 1000, 1000, 8, 60_000, has_checkpoints=True)
    for number in range(8):
        site.submit(f'b{number}', 'batch', saved)
    site.decide()
    gang = replace(WIDE_GANG, estimated_ms=3000)
    site.submit('u', 'urgent', gang)
    site.decide(advance_ms=100)
    first = stopped(site)
    for task in first:
        site.end(task, EndKind.stopped, checkpoint='1')
    for number in range(4):
        site.end(f'u.0.0.{number}')
    assert set(first) <= set(site.ordered_tasks())
    site.submit('v', 'urgent', gang)
    site.decide(advance_ms=100)
    assert len(first) == 4
    assert len(stopped(site)) == 4
    assert not set(stopped(site)) & set(first)


def test_count_of_preemptions_survives_a_takeover():
    """A new leader must spare the runs that the last one has stopped."""
    site = Site(racks=('r1',))
    fill(site, 'b', 8)
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.decide(advance_ms=100)
    row = decode_row(encode_row(site.progress['b']), ProgressRow)
    job = Job('b', JobSpec('batch', 'team', 'planner', '', (NARROW,)))
    job.restore(row)
    assert job.steps[0].tasks[0].preemptions == 1


def test_task_rows_of_the_previous_release_are_read():
    """A row without the count of preemptions must restore its task."""
    row = decode_row(
        b'{"state":"running","tasks":[["0.0.0",2,0,false,"c",{},0]]}',
        ProgressRow,
    )
    assert row.tasks[0].run == 2
    assert row.tasks[0].preemptions == 0


def test_log_tells_for_whom_a_run_was_stopped():
    """An operator must see from one entry why a run gave way."""
    site = Site(racks=('r1',))
    fill(site, 'b', 8)
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.decide(advance_ms=100)
    [entry] = [
        entry for entry in site.log_entries if entry.event == 'stop_ordered'
    ]
    assert entry.fields['reason'] == 'room_for_urgent_work'
    assert entry.fields['for_job'] == 'u'
    assert entry.fields['minion'] == 'm0'
    assert entry.fields['preemptions'] == 0
    assert entry.fields['lost_core_s'] > 0


def test_search_for_victims_looks_at_each_run_a_few_times(monkeypatch):
    """The cost of a search must not grow with runs times workers."""
    calls = []
    fit_count = Resources.fit_count

    def counted(self, other):
        calls.append(other)
        return fit_count(self, other)

    workers, runs_each = 40, 8
    site = Site(racks=('r1',) * workers)
    for number in range(workers):
        site.submit(f'b{number}', 'batch', StepSpec(8, 1000, 1000, 1, 60_000))
    site.decide()
    searches = []
    choose = VictimSearch.choose

    def counted_choose(self):
        calls.clear()
        found = choose(self)
        searches.append(len(calls))
        return found

    monkeypatch.setattr(Resources, 'fit_count', counted)
    monkeypatch.setattr(VictimSearch, 'choose', counted_choose)
    site.submit('u', 'urgent', StepSpec(5, 8000, 8000, 8, 30_000, is_gang=True))
    site.decide(advance_ms=100)
    assert len(stopped(site)) == 5 * runs_each
    assert max(searches) < 4 * workers * runs_each
