"""Loss of a guard or an entry at each step of a request's handover."""

import time
import uuid

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from dragonflynotch.testing.table import TableFault
from tests.processes import wait_until
from tests.relay import RelayMode

scenarios('../features/guard_loss.feature', '../features/entry_loss.feature')


class Checklist:
    def __init__(self, cluster):
        self.cluster = cluster
        self.text = f'checklist-{uuid.uuid4().hex}'
        self.future = None
        self.guard_number = 0

    @property
    def runs(self):
        return self.cluster.runs[self.text]

    def begin(self):
        self.future = self.cluster.submit(self.text.encode(), key=self.text)

    def repeat(self):
        return self.cluster.send(self.text.encode(), key=self.text, entry=1)


def set_relay_mode(relays, mode):
    for relay in relays:
        relay.silence()
        relay.mode = mode
    return [relay.request_bytes for relay in relays]


def first_relay_with_traffic(relays, before):
    for number, relay in enumerate(relays):
        if relay.request_bytes > before[number]:
            return number
    return None


@given(
    parsers.parse('a checklist whose handover is held at the step {step}'),
    target_fixture='checklist',
)
def begin_checklist(cluster, step):
    checklist = Checklist(cluster)
    relays = cluster.guard_relays
    mode = RelayMode.forward
    if step == 'request in transit':
        mode = RelayMode.hold_requests
    elif step == 'before the minion':
        relays = cluster.minion_relays
        mode = RelayMode.hold_requests
    elif step == 'answer in transit':
        mode = RelayMode.lose_answers
    else:
        for minion in cluster.minions:
            minion.delay_s = 1.0
    before = set_relay_mode(relays, mode)
    checklist.begin()
    wait_until(lambda: first_relay_with_traffic(relays, before) is not None)
    checklist.guard_number = first_relay_with_traffic(relays, before)
    if step in {'minion runs', 'answer in transit', 'answer unrecorded'}:
        wait_until(lambda: checklist.runs == 1)
    if step == 'answer unrecorded':
        cluster.table.fault = TableFault.down
        checklist.future.result(10)
    return checklist


@when(parsers.parse('its guard is {loss}'))
def lose_guard(cluster, checklist, loss):
    guard = cluster.guards[checklist.guard_number]
    if loss == 'killed':
        guard.kill()
    else:
        guard.suspend()


@when('its entry is killed')
def kill_entry(cluster):
    cluster.entries[0].kill()
    cluster.table.fault = TableFault.none


@then('the caller gets an outcome within 5 seconds', target_fixture='reply')
def check_outcome_in_time(checklist):
    reply = checklist.future.result(10)
    assert reply.outcome in {'answer', 'not_run', 'unknown'}
    assert reply.elapsed_s < 5
    return reply


@then('a checklist reported as not run never ran')
def check_never_ran(cluster, checklist, reply):
    runs_when_answered = checklist.runs
    cluster.restore()
    time.sleep(0.5)
    if reply.outcome == 'not_run':
        assert runs_when_answered == checklist.runs == 0


@then('repeating it through the other entry runs it at most once')
def check_repetitions_run_once(checklist):
    for _ in range(3):
        checklist.repeat()
    assert checklist.runs <= 1


@then('repeating it through the other entry returns the answer')
def repeat_until_answered(cluster, checklist):
    for relay in cluster.guard_relays:
        relay.silence()
        relay.mode = RelayMode.forward
    replies = []

    def is_answered():
        replies.append(checklist.repeat())
        return replies[-1].status == 200

    wait_until(is_answered, limit_s=8)
    assert replies[-1].body.endswith(checklist.text.upper().encode())


@then('the checklist ran exactly once')
def check_ran_once(checklist):
    time.sleep(0.3)
    assert checklist.runs == 1


@pytest.mark.parametrize('loss', ['kill', 'suspend'])
def test_guard_lost_before_the_handover(cluster, loss):
    """Detects lost requests that were sent to a guard just after its loss."""
    getattr(cluster.guards[0], loss)()
    futures = {
        f'before-{loss}-{number}': cluster.submit(
            f'before-{loss}-{number}'.encode(),
            key=f'before-{loss}-{number}',
            entry=number % 2,
        )
        for number in range(8)
    }
    replies = {body: future.result(10) for body, future in futures.items()}
    cluster.restore()
    time.sleep(0.5)
    for body, reply in replies.items():
        assert reply.elapsed_s < 5
        expected = {'answer': {1}, 'not_run': {0}, 'unknown': {0, 1}}
        assert cluster.runs[body] in expected[reply.outcome]
