"""Tests of the proof that a minion has ended."""

import asyncio

import pytest

from dragonflynotch.control.loss_detector import LossCounts, LossDetector
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.testing.machines import MemoryMachineDirectory
from dragonflynotch.workflows.crash_records import MinionCrash
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.records import Report

SERVICE = 'planner'
FRESH_MS = 100


class Scene:
    """A detector with four workers whose machines are listed."""

    def __init__(self, clock):
        self.clock = clock
        self.directory = MemoryMachineDirectory()
        self.counts = LossCounts()
        self.answers = []
        self.detector = LossDetector(
            self.directory,
            clock,
            self.counts,
            lambda: self.answers.append(clock.now_ms()),
        )
        self.workers = {}
        for number in range(4):
            self.directory.start(f'n{number}', SERVICE, f'm{number}')
            self.report(f'n{number}', f'm{number}')

    def report(self, node, minion_id, *, is_ready=True, **fields):
        report = Report(minion_id, SERVICE, is_ready, True, 0, 1, **fields)
        self.workers[node] = Worker(node, report, 1, 0)
        self.detector.record_report(node)

    def silence(self, node):
        """Let 2 s pass in which all guards but that of ``node`` report."""
        self.clock.advance(2000)
        for other, worker in self.workers.items():
            if other != node:
                self.report(other, worker.minion_id)

    def find(self, replica_age_ms=FRESH_MS):
        lost = self.detector.find_lost(self.workers.values(), replica_age_ms)
        return [machine.worker.minion_id for machine in lost]

    async def look_up(self):
        """Find lost machines with the answer to a new lookup."""
        self.find()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return self.find()


@pytest.fixture
def scene(clock):
    return Scene(clock)


async def test_silent_guard_without_a_minion_is_found_lost(scene):
    """A machine without power must not be waited for."""
    scene.directory.power_off('n0')
    scene.silence('n0')
    assert await scene.look_up() == ['m0']


async def test_listed_minion_is_not_lost(scene):
    """A machine that is only cut off still runs its tasks."""
    scene.silence('n0')
    assert await scene.look_up() == []
    assert scene.directory.call_count == 1


async def test_minion_of_another_service_is_not_lost(scene):
    """A machine must not seem lost under the name of another service."""
    scene.directory.remove('n0')
    scene.directory.start('x', 'other', 'm0')
    scene.silence('n0')
    assert await scene.look_up() == []


async def test_minion_that_reports_during_the_lookup_is_not_lost(scene):
    """A list must not be held against a newer report, nor a newer minion."""
    scene.directory.power_off('n0')
    scene.silence('n0')
    scene.find()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    scene.report('n0', 'm0-next')
    assert scene.find() == []


async def test_report_shortly_before_the_lookup_outweighs_the_list(scene):
    """A list may lag behind the start of a minion by a moment."""
    scene.directory.power_off('n0')
    scene.directory.power_off('n1')
    scene.silence('n0')
    assert await scene.look_up() == ['m0']


async def test_late_answer_counts_from_the_time_of_its_request(scene):
    """A leader suspended during the call must not trust an old list."""
    scene.directory.power_off('n0')
    scene.directory.power_off('n1')
    scene.silence('n0')
    scene.find()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    scene.clock.advance(60_000)
    assert scene.find() == ['m0']


async def test_leaving_minion_is_not_looked_up(scene):
    """A minion may run on after its machine has left the list."""
    scene.report('n0', 'm0', is_ready=False)
    scene.directory.remove('n0')
    scene.silence('n0')
    assert await scene.look_up() == []


async def test_minion_that_may_have_crashed_is_found_lost(scene):
    """Its runs were held until the authority of the guard had ended."""
    crash = MinionCrash('m0', 0, [], is_certain=False)
    scene.report('n0', 'm0', is_reachable=False, crashes=[crash])
    scene.silence('n0')
    assert await scene.look_up() == []
    scene.directory.power_off('n0')
    scene.silence('n0')
    assert await scene.look_up() == ['m0']


async def test_minion_that_was_unreachable_before_is_found_lost(scene):
    """A minion may end before the machine of its guard is lost too."""
    crash = MinionCrash('earlier', 0, [])
    scene.report('n0', 'm0', is_reachable=False, crashes=[crash])
    scene.directory.power_off('n0')
    scene.silence('n0')
    assert await scene.look_up() == ['m0']


async def test_list_without_most_reporting_minions_proves_nothing(scene):
    """A directory that does not cover a service would end live runs."""
    for number in range(1, 3):
        scene.directory.start(f'n{number}', SERVICE, f'other-{number}')
    scene.directory.power_off('n0')
    scene.silence('n0')
    assert await scene.look_up() == []


async def test_no_reporting_minion_proves_nothing(scene):
    """If all guards are cut off, nothing shows that the list covers them."""
    scene.directory.power_off('n0')
    scene.clock.advance(2000)
    assert await scene.look_up() == []


@pytest.mark.parametrize('replica_age_ms', [None, 1800])
async def test_outdated_replica_starts_no_lookup(scene, replica_age_ms):
    """While the store is away each guard would seem silent."""
    scene.silence('n0')
    assert scene.find(replica_age_ms) == []
    await asyncio.sleep(0)
    assert scene.directory.call_count == 0


async def test_lookups_are_limited_to_two_per_second(scene):
    """A silent guard must not use up the platform's limit on reads."""
    scene.silence('n0')
    for _ in range(5):
        scene.clock.advance(100)
        await scene.look_up()
    assert scene.directory.call_count == 1
    scene.clock.advance(100)
    await scene.look_up()
    assert scene.directory.call_count == 2


async def test_failed_lookup_is_repeated_and_logged_once(scene, monkeypatch):
    """A failing list must neither fill the log nor end the search."""
    events = []
    monkeypatch.setattr(
        decision_log, 'record', lambda event, **_: events.append(event)
    )
    scene.directory.is_available = False
    scene.directory.power_off('n0')
    for _ in range(3):
        scene.silence('n0')
        assert await scene.look_up() == []
    scene.directory.is_available = True
    scene.silence('n0')
    assert await scene.look_up() == ['m0']
    assert events == ['machine_list_lost', 'machine_list_regained']
    assert scene.counts.failed_lookups == 3


async def test_answer_starts_a_round(scene):
    """An answer must not wait for the next round, up to 250 ms later."""
    scene.silence('n0')
    scene.find()
    assert not scene.answers
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(scene.answers) == 1


async def test_answer_is_used_once(scene):
    """A write that failed is repeated with a new list, not each round."""
    scene.directory.power_off('n0')
    scene.silence('n0')
    assert await scene.look_up() == ['m0']
    assert scene.find() == []
