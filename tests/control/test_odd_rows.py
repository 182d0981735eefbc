"""An odd row among those that schedulers and guards read."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflynotch.control.order_feed import OrderFeed
from dragonflynotch.control.rows import (
    LEASE,
    ORDER_TABLES,
    PROGRESS,
    REPORTS,
    SCHEDULER_PART,
    SUBMISSIONS,
    RowName,
    RowWrite,
    order_row,
    shard_of,
)
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.crash_records import (
    CrashEvidence,
    MinionCrash,
    RunAtCrash,
    TaskCrash,
)
from dragonflynotch.workflows.jobs import (
    JobSpec,
    StepSpec,
    decode_job_spec,
    parse_task_id,
)
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    LeaseRow,
    Order,
    ProgressRow,
    Rejection,
    Report,
    RunEnd,
    RunningTask,
    StartedRun,
    TaskRow,
    decode_row,
    encode_row,
)
from tests.control.cluster import Cluster, LoopClock, tasks
from tests.odd_entries import NESTED, ODD_BODIES, ODD_NUMBERS, odd_versions

# Number of digits that ``int`` refuses, in a task name.
LONG = '9' * 5000
ODD_TASKS = [f'j.0.0.{LONG}', f'j.{LONG}.0.0', 'j', '', 'j.0.0', 'j.x.y.z']
SPEC = JobSpec('q', 'team', 'planner', 'text', (StepSpec(1),))
REPORT = Report(
    'odd',
    'planner',
    is_ready=True,
    is_live=True,
    authority_end_ms=10**12,
    token=1,
    address='127.0.0.1:1',
    capacity=(4000, 4000, 4),
)


def with_fields(row, **fields):
    """Return the stored form with raw JSON texts as additional fields."""
    stored = msgspec.json.encode(row)[:-1]
    return (
        stored
        + b''.join(
            b',"%s":%s' % (name.encode(), text) for name, text in fields.items()
        )
        + b'}'
    )


def odd_reports():
    yield from ODD_BODIES
    yield with_fields(REPORT, unknown=NESTED)
    for name in ('authority_end_ms', 'token', 'leaves_at_ms', 'runs_age_ms'):
        for number in set(ODD_NUMBERS) - {b'-1'}:
            yield with_fields(REPORT, **{name: number})
    for number in ODD_NUMBERS:
        yield with_fields(REPORT, capacity=b'[%s,1,1]' % number)
        yield with_fields(REPORT, running=b'[["j.0.0.0",%s,"",1]]' % number)
        yield with_fields(
            REPORT, crashes=b'[["m",%s,[]],%s]' % (number, NESTED)
        )
    yield with_fields(REPORT, capacity=b'[1,1,1025]')
    for minion_id in ('a/b', 'x' * 200, '\0', ' '):
        yield encode_row(msgspec.structs.replace(REPORT, minion_id=minion_id))
    # These can be decoded; what they name does not exist. A worker that is
    # ready would get runs, as any other.
    for task in ODD_TASKS:
        yield encode_row(
            msgspec.structs.replace(
                REPORT,
                is_ready=False,
                running=[RunningTask(task, 1, 'c', 1)],
                abandoned=[RunningTask(task, 1, 'c', 1)],
                started=[StartedRun(task, 1)],
                ended=[RunEnd(1, task, 1, EndKind.done, '')],
                rejected=[Rejection(task, 1, 'room')],
                crashes=[
                    MinionCrash('odd', 1, [RunAtCrash(task, 1, 1)]),
                ],
            )
        )


def odd_specs():
    yield from ODD_BODIES
    yield with_fields(SPEC, unknown=NESTED)
    for number in ODD_NUMBERS:
        yield with_fields(SPEC, steps=b'[{"count":%s}]' % number)
        yield with_fields(SPEC, steps=b'[{"count":1,"millicores":%s}]' % number)
        yield with_fields(SPEC, policy=b'["planner",1,%s]' % number)
        yield with_fields(
            SPEC, steps=b'[{"count":1,"estimated_ms":%s}]' % number
        )
        yield with_fields(SPEC, repetitions=number)
    # As many tasks as this fill the memory of the scheduler.
    yield with_fields(SPEC, steps=b'[{"count":1000000000}]')
    yield with_fields(SPEC, repetitions=b'1000000000')


def odd_progress():
    yield from ODD_BODIES
    for task in (LONG, f'0.0.{LONG}', 'x', '0.0', '0.0.0.0', '', '\0'):
        yield encode_row(
            ProgressRow(JobState.running, [TaskRow(task, 1, 0, False)])
        )
    for number in ODD_NUMBERS:
        yield b'{"state":"running","tasks":[["0.0.0",%s,0,false]]}' % number
        yield b'{"state":"running","ended_ms":%s,"x":%s}' % (number, NESTED)


def odd_orders():
    yield from ODD_BODIES
    for number in ODD_NUMBERS:
        yield b'{"payload":"","run":%s,"start_by_ms":1}' % number
        yield (
            b'{"payload":"","run":1,"start_by_ms":1,"needs":[%s,0,0]}' % number
        )


async def put(store, table, part, key, content):
    await store.commit([RowWrite(RowName(table.name, part, key), content)], [])


async def put_odd_rows(store):
    """Write odd rows into all tables."""
    for number, content in enumerate(odd_reports()):
        key = f'odd{number}'
        await put(store, REPORTS, shard_of(key), key, content)
    for number, content in enumerate(odd_specs()):
        for key in (f'odd{number}', 'x' * 150, 'a.b', ''):
            await put(store, SUBMISSIONS, shard_of(key), f'{key}/spec', content)
    for key in ('x' * 150, 'a.0.0.0', '', '/'):
        await put(
            store, SUBMISSIONS, shard_of(key), f'{key}/spec', encode_row(SPEC)
        )
        await put(store, SUBMISSIONS, shard_of(key), f'{key}/cancel', b'')
    for number, content in enumerate(odd_progress()):
        await put(store, PROGRESS, SCHEDULER_PART, f'odd{number}', content)
    for number, content in enumerate(odd_orders()):
        name = order_row('m0', f'odd{number}.0.0.0')
        await store.commit([RowWrite(name, content)], [])
    order = encode_row(Order('', 1, 1))
    for task in ODD_TASKS:
        for table in ORDER_TABLES:
            await put(store, table, SCHEDULER_PART, f'm0/{task}', order)
            await put(store, table, SCHEDULER_PART, f'gone/{task}', order)
            await put(store, table, SCHEDULER_PART, task, order)


@pytest.fixture
async def cluster():
    cluster = Cluster()
    cluster.start()
    yield cluster
    await cluster.stop()


async def test_odd_rows_do_not_end_scheduling(cluster):
    """Odd entry ends the process that reads the list; the good ones hold."""
    await cluster.submit('first', tasks(2))
    await cluster.wait_for_state('first', JobState.completed)
    leader = cluster.current_leader()
    await put_odd_rows(cluster.store)
    await cluster.submit('second', tasks(2))
    await cluster.wait_for_state('second', JobState.completed)
    assert cluster.leaders[leader].is_scheduling
    assert not any(task.done() for task in cluster._tasks.values())


async def test_odd_rows_do_not_prevent_a_takeover(cluster):
    """Odd entry ends each process in turn that loads the rows."""
    await put_odd_rows(cluster.store)
    await cluster.submit('first', tasks(2))
    await cluster.wait_for_state('first', JobState.completed)
    await cluster.kill(cluster.current_leader())
    await cluster.submit('second', tasks(2))
    await cluster.wait_for_state('second', JobState.completed)
    assert not any(task.done() for task in cluster._tasks.values())


@pytest.mark.parametrize('body', ODD_BODIES)
async def test_odd_lease_does_not_prevent_scheduling(cluster, body):
    """Odd entry ends each process in turn that reads the lease."""
    await put(cluster.store, LEASE, SCHEDULER_PART, 'holder', body)
    await cluster.submit('first', tasks(1))
    await cluster.wait_for_state('first', JobState.completed)


@pytest.mark.parametrize(
    'content',
    [
        *ODD_BODIES,
        with_fields(REPORT, unknown=NESTED),
        with_fields(REPORT, address=b'"127.0.0.1:x"'),
        with_fields(REPORT, address=b'"127.0.0.1:70000"'),
        with_fields(REPORT, address=b'"127.0.0.1:' + b'9' * 5000 + b'"'),
    ],
)
async def test_odd_report_does_not_end_the_guard_that_starts(cluster, content):
    """Odd entry ends the process that reads it, again after each start."""
    await cluster.kill('n0')
    await put(cluster.store, REPORTS, shard_of('n0'), 'n0', content)
    cluster.start_guard('n0')
    name = RowName(REPORTS.name, shard_of('n0'), 'n0')
    async with asyncio.timeout(3):
        while (await cluster.store.read_row(name)).content == content:
            cluster.send_heartbeat('n0', 'm0')
            await asyncio.sleep(0.05)
    assert not cluster._tasks['n0'].done()


async def test_odd_orders_do_not_end_the_feed():
    """Odd entry ends the loop that follows the list; the good ones hold."""
    clock = LoopClock()
    store = MemoryRowStore(clock)
    received = {}

    def on_order(minion_id, task, order):
        received[task] = order

    feed = OrderFeed(store, clock, on_order, lambda: None)
    feed.follow('m9')
    running = asyncio.create_task(feed.run())
    for number, content in enumerate(odd_orders()):
        name = order_row('m9', f'odd{number}')
        await store.commit([RowWrite(name, content)], [])
    good = order_row('m9', 'good')
    await store.commit([RowWrite(good, encode_row(Order('', 1, 1)))], [])
    async with asyncio.timeout(3):
        while 'good' not in received:
            await asyncio.sleep(0.01)
    assert received.pop('good') == Order('', 1, 1)
    assert set(received.values()) == {None}
    assert not running.done()
    running.cancel()


@pytest.mark.parametrize('name', [f'j.0.0.{LONG}', f'j.{LONG}.0.0'])
def test_long_number_in_a_task_name_names_no_task(name):
    """Odd entry ends the process that looks its task up."""
    assert parse_task_id(name) is None


CRASH = TaskCrash('n', 'm', 1, 1, CrashEvidence.strong)
VALID_ROWS = {
    Report: msgspec.structs.replace(
        REPORT, running=[RunningTask('j.0.0.0', 1, '', 1)]
    ),
    Order: Order('text', 1, 1, needs=(1, 1, 1)),
    LeaseRow: LeaseRow('n', 1, 1, {'q': 1}),
    ProgressRow: ProgressRow(
        JobState.running, [TaskRow('0.0.0', 1, 0, False, crashes=[CRASH])]
    ),
    JobSpec: SPEC,
}


@pytest.mark.parametrize('model', VALID_ROWS)
def test_any_bytes_are_a_row_or_unreadable(model):
    """Odd entry ends the process that reads the list."""

    @settings(max_examples=100, deadline=None)
    @given(odd_versions(VALID_ROWS[model]))
    def check(content):
        row = decode_row(content, model)
        assert isinstance(row, model | Unreadable)
        if isinstance(row, model):
            # Rows are copied into others, and their amounts into shares.
            assert decode_row(encode_row(row), model) == row

    check()


@settings(max_examples=100, deadline=None)
@given(st.text(max_size=5), odd_versions(SPEC))
def test_any_bytes_are_a_job_or_unreadable(job_id, content):
    """Odd entry ends the process that reads the list."""
    spec = decode_job_spec(job_id, content)
    assert isinstance(spec, JobSpec | Unreadable)
    assert isinstance(spec, Unreadable) or spec.task_count <= 20_000
