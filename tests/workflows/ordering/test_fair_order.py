"""Tests of the order of waiting steps where workspaces compete."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, RunEnd
from tests.workflows.site import Site

SMALL = StepSpec(1, 1000, 1000, 2, 3000)
WIDE = StepSpec(4, 1000, 1000, 8, 6000, is_gang=True)
RACKS = ('r1',) * 4


@pytest.fixture
def site():
    """Return a site whose four workers are all held by one workspace."""
    site = Site(racks=RACKS)
    for number in range(4):
        site.submit(
            f'x{number}',
            'normal',
            StepSpec(1, 1000, 1000, 8, 60_000),
            workspace='flooder',
        )
    site.decide()
    site.decide(advance_ms=30_000)
    return site


def wait_fields(site):
    return [
        entry.fields
        for entry in site.log_entries
        if entry.event == 'step_waits'
    ]


def flood(site, count=40):
    for number in range(count):
        site.submit(f'f{number}', 'normal', SMALL, workspace='flooder')


def wait_of_six(site):
    """Let six workspaces wait, so that each is entitled to a sixth."""
    flood(site)
    for number in range(5):
        site.submit(f'w{number}', 'normal', WIDE, workspace=f'other-{number}')


def end_all(site):
    """End all runs within one round."""
    for node, (minion, _, _) in site.incarnations.items():
        ended = [
            RunEnd(number, name, order.run, EndKind.done, '')
            for number, ((holder, name), order) in enumerate(
                site.orders.items(), 1
            )
            if holder == minion
        ]
        site.ends[node] = ended
        site.report(node)
    site.decide()


def test_flood_of_small_jobs_does_not_starve_a_wide_one(site):
    """By work left alone, all jobs of the flood came before the wide ones."""
    wait_of_six(site)
    site.decide(advance_ms=100)
    end_all(site)
    started = {name.partition('.')[0] for name in site.ordered_tasks()}
    assert len(started) == 1
    assert started < {f'w{number}' for number in range(5)}


def test_one_waiting_workspace_is_served_by_work_left(site):
    """Shares must have no effect where nobody competes."""
    flood(site)
    site.submit('w', 'normal', WIDE, workspace='flooder')
    site.decide(advance_ms=100)
    waits = wait_fields(site)
    assert waits
    assert {wait['share_level'] for wait in waits} == {0}
    assert not any(
        entry.event == 'workspaces_compete' for entry in site.log_entries
    )


def test_shares_have_no_effect_while_there_is_room():
    """Less waiting than room must be served as before."""
    site = Site(racks=RACKS)
    flood(site, 4)
    site.submit('w', 'normal', StepSpec(2, 1000, 1000, 8), workspace='other')
    site.decide()
    assert not any(
        entry.event == 'workspaces_compete' for entry in site.log_entries
    )


def test_priority_comes_before_shares(site):
    """Urgent work of a workspace above its share must come first."""
    wait_of_six(site)
    site.submit(
        'u', 'urgent', StepSpec(4, 1000, 1000, 8, 60_000), workspace='flooder'
    )
    site.decide(advance_ms=100)
    end_all(site)
    started = {name.partition('.')[0] for name in site.ordered_tasks()}
    assert started == {'u'}


def test_wait_names_the_share_level(site):
    """It must be visible that a job waits because of its workspace."""
    wait_of_six(site)
    site.decide(advance_ms=100)
    levels = {
        wait['workspace']: wait['share_level'] for wait in wait_fields(site)
    }
    assert levels['flooder'] == 2
    assert levels['other-0'] == 0


def test_change_of_level_is_not_logged_at_once(site):
    """Levels change often, and must not add a line for each step."""
    wait_of_six(site)
    for index in range(12):
        if index == 6:
            site.end('x0.0.0.0')
        site.decide(advance_ms=100)
    waits = [wait['job'] for wait in wait_fields(site)]
    assert len(waits) == len(set(waits))


def test_competition_is_logged_once_per_interval(site):
    """An operator must see the shares, without a line in every round."""
    wait_of_six(site)
    for _ in range(9):
        site.decide(advance_ms=100)
    [entry] = [
        entry
        for entry in site.log_entries
        if entry.event == 'workspaces_compete'
    ]
    assert entry.fields['services'] == ['planner']
    assert entry.fields['shares']['flooder'][0] == 1
    assert entry.fields['shares']['other-0'][0] == 0
