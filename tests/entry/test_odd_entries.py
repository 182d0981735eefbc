"""An odd entry among those that entries and guards read of each other."""

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflynotch.core.clock import ManualClock, SystemClock
from dragonflynotch.core.configuration import Changes, RecordKey, Snapshot
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.core.handover import LedgerRow, LedgerState
from dragonflynotch.core.jobs import Job, JobSpec, JobState
from dragonflynotch.core.membership import Membership
from dragonflynotch.core.shapes import Shape
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.entry.configuration.configuration_service import (
    ConfigurationService,
)
from dragonflynotch.entry.configuration.configuration_store import (
    ConfigurationStore,
)
from dragonflynotch.entry.jobs.job_cleanup import (
    RECORD_RETENTION,
    delete_ended_jobs,
)
from dragonflynotch.entry.members.membership import (
    MembershipListener,
    _guard_info,
)
from dragonflynotch.entry.members.registry import EntryRegistry
from dragonflynotch.entry.partition.lease_row import LeaseRowStore
from dragonflynotch.entry.peers.exchange import EntryIdentity, PeerExchange
from dragonflynotch.entry.peers.remote_entries import RemoteEntries
from dragonflynotch.guard.announcer import Announcer
from dragonflynotch.guard.configuration import ConfigurationCopy
from dragonflynotch.guard.order_api import OrderApi
from dragonflynotch.links.asgi import HttpCall
from dragonflynotch.links.configuration_messages import decode_copy
from dragonflynotch.links.datagrams import DatagramEndpoint
from dragonflynotch.links.digest_codec import encode_guard
from dragonflynotch.links.entry_link import EntryLink
from dragonflynotch.links.entry_link_pb2 import (
    ConfigurationPosition,
    ConfigurationUpdate,
    DigestReply,
    JobReply,
    Record,
)
from dragonflynotch.links.messages import (
    Acknowledgement,
    Announcement,
    GuardState,
    MinionState,
    WorkerState,
    decode_acknowledgement,
    decode_announcement,
    encode_message,
)
from dragonflynotch.records.job_rows import (
    IdempotencyKeyRow,
    JobRow,
    decode_idempotency_key_row,
    decode_job_row,
    encode_row,
    idempotency_key_row_key,
    job_row_key,
)
from dragonflynotch.records.jobs import parse_job_body
from dragonflynotch.records.ledger import decode_row
from dragonflynotch.records.ledger import encode_row as encode_ledger_row
from dragonflynotch.services.table import ABSENT_VERSION, ConditionalWrite
from dragonflynotch.testing.table import MemoryTable
from tests.odd_entries import DEPTH, NESTED, ODD_BODIES, odd_versions

NOW = ManualClock().now()
ANNOUNCEMENT = Announcement(
    'g1',
    1,
    1,
    'dc',
    '127.0.0.1',
    80,
    GuardState.ready,
    MinionState('m1', 8, 8, 1),
    WorkerState('w1', 'r1', 1, 8, 8, 64, 1000),
    1,
    (1, 2),
    1,
    0,
)
ACKNOWLEDGEMENT = Acknowledgement('e1', 'g1', 1, 1, 1, (('127.0.0.1', 9),))
DEEP_ARRAYS = b'\x91' * DEPTH + b'\xc0'
ODD_DATAGRAMS = [
    b'',
    b'\xff' * 1000,
    b'\xc1',
    # An unknown field after the known ones.
    b'\xdc\x00\x0e' + encode_message(ANNOUNCEMENT)[1:] + b'\x91' * 50_000,
    *(
        encode_message(msgspec.structs.replace(ANNOUNCEMENT, **fields))
        for fields in (
            {'http_port': 0},
            {'http_port': -1},
            {'http_port': 70_000},
            {'http_port': 2**40},
            {'http_host': 'a b'},
            {'http_host': ''},
            {'sequence': -1},
            {'incarnation': 2**64 - 1},
            {'schema_versions': (2**40,)},
            {'minion': MinionState('m1', -1, 0, 0)},
            {'minion': MinionState('m1', 2**40, 0, 0)},
            {'worker': WorkerState('w1', 'r', 2**40, 0, 0, 0, 0)},
            {'worker': WorkerState('w1', 'r', 1, -8, 0, 0, 0)},
            {'worker': WorkerState('w1', 'r', 1, 8, 8, 2**40, 2**40)},
        )
    ),
]


@pytest.mark.parametrize('datagram', ODD_DATAGRAMS)
def test_odd_announcement_names_no_guard(datagram):
    """Odd entry ends the process that reads the list."""
    assert isinstance(decode_announcement(datagram), Unreadable)


async def test_odd_announcements_do_not_end_the_listener():
    """Odd entry ends the loop that follows the list; the good ones hold."""
    membership = Membership()
    clock = SystemClock()

    def observe(guard, announcement):
        encode_guard(guard, clock.now())

    listener = MembershipListener(
        membership, observe, lambda _: ACKNOWLEDGEMENT, clock
    )
    port = await listener.open('127.0.0.1', 0)
    running = asyncio.create_task(listener.run())
    sender = DatagramEndpoint()
    await sender.open('127.0.0.1', 0)
    for datagram in ODD_DATAGRAMS:
        sender.send(datagram, ('127.0.0.1', port))
    sender.send(encode_message(ANNOUNCEMENT), ('127.0.0.1', port))
    async with asyncio.timeout(3):
        while not membership.guards():
            await asyncio.sleep(0.01)
    assert [guard.guard_id for guard in membership.guards()] == ['g1']
    assert not running.done()
    sender.close()
    running.cancel()


async def test_odd_acknowledgements_do_not_end_the_announcements():
    """Odd entry ends the loop that sends to its address."""
    entry = DatagramEndpoint()
    await entry.open('127.0.0.1', 0)
    acknowledged = []
    announcer = Announcer(
        (('127.0.0.1', entry.port),),
        lambda sequence: msgspec.structs.replace(
            ANNOUNCEMENT, sequence=sequence
        ),
        lambda acknowledgement, _: acknowledged.append(acknowledgement),
        SystemClock(),
    )
    running = asyncio.create_task(announcer.run())
    async with asyncio.timeout(5):
        guard = (await entry.receive()).sender
        for datagram in ODD_DATAGRAMS:
            entry.send(datagram, guard)
        odd = tuple(('127.0.0.1', port) for port in (0, -1, 70_000, 2**40))
        entry.send(
            encode_message(
                msgspec.structs.replace(ACKNOWLEDGEMENT, entries=odd)
            ),
            guard,
        )
        for _ in range(2):
            await entry.receive()
    assert [each.entries for each in acknowledged] == [()]
    assert not running.done()
    running.cancel()
    entry.close()


@settings(max_examples=200, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=100),
        st.builds(
            lambda content, start, replacement: (
                content[:start] + replacement + content[start + 1 :]
            ),
            st.sampled_from(
                [encode_message(ANNOUNCEMENT), encode_message(ACKNOWLEDGEMENT)]
            ),
            st.integers(0, 100),
            st.one_of(
                st.binary(max_size=9),
                st.just(DEEP_ARRAYS),
                st.just(b'\xcf' + b'\xff' * 8),
            ),
        ),
    )
)
def test_any_datagram_is_a_message_or_unreadable(datagram):
    """Odd entry ends the process that reads the list."""
    announcement = decode_announcement(datagram)
    if not isinstance(announcement, Unreadable):
        clock = ManualClock()
        encode_guard(_guard_info(announcement, clock), clock.now())
    acknowledgement = decode_acknowledgement(datagram)
    if not isinstance(acknowledgement, Unreadable):
        assert all(0 < port < 65_536 for _, port in acknowledgement.entries)


async def put(table, **contents):
    for key, content in contents.items():
        await table.commit(
            [ConditionalWrite(key, content, ABSENT_VERSION)], 'other'
        )


def entry_row(content):
    return msgspec.json.encode(
        {
            'link': '127.0.0.1:80',
            'schema_versions': [1],
            'refreshed_at': NOW,
            **content,
        }
    )


async def test_odd_registrations_name_no_entry():
    """Odd entry ends the process that reads the list; the good ones hold."""
    table = MemoryTable()
    odd = [
        *ODD_BODIES,
        entry_row({})[:-1] + b',"x":' + NESTED + b'}',
        entry_row({'link': 'a:70000'}),
        entry_row({'refreshed_at': '2026-01-01T00:00:00'}),
    ]
    for number, content in enumerate(odd):
        await put(table, **{f'entry/dc/odd{number}': content})
    await put(
        table,
        **{'entry/short': entry_row({}), 'entry/dc/good': entry_row({})},
    )
    identity = SimpleNamespace(
        link=('127.0.0.1', 1), data_centre='dc', entry_id='own'
    )
    registry = EntryRegistry(identity, table, ManualClock())
    assert await registry.refresh((1, 2))
    assert [entry.entry_id for entry in registry.entries] == ['good']


JOB = Job(
    'job-1',
    JobSpec('resort', 'recut', Shape(1)),
    NOW - 2 * RECORD_RETENTION,
    JobState.finished,
    ended_at=NOW - 2 * RECORD_RETENTION,
)
KEY_ROW = IdempotencyKeyRow(job_id='job-1', data_centre='dc', body_digest='')


async def test_odd_records_do_not_end_the_cleanup():
    """Odd entry ends the process that reads the list; the good ones hold."""
    table = MemoryTable()
    naive = encode_row(JobRow(job=JOB)).replace(b'Z"', b'"')
    for number, content in enumerate([*ODD_BODIES, naive]):
        await put(
            table,
            **{
                job_row_key('dc', f'odd{number}'): content,
                idempotency_key_row_key('resort', f'odd{number}'): content,
            },
        )
    await put(
        table,
        **{
            job_row_key('dc', 'job-1'): encode_row(JobRow(job=JOB)),
            idempotency_key_row_key('resort', 'key'): encode_row(KEY_ROW),
        },
    )
    assert await delete_ended_jobs(table, 'dc', NOW) == 1


@pytest.mark.parametrize('content', ODD_BODIES)
async def test_odd_record_leaves_the_configuration_in_force(content):
    """A record that is left out would count as deleted."""
    table = MemoryTable()
    good = b'{"revision":1,"document":"{}"}'
    await put(table, **{'configuration/record/workspace/good': good})
    snapshot = await ConfigurationStore(table).snapshot()
    assert list(snapshot.records) == [RecordKey('workspace', 'good')]
    await put(table, **{'configuration/record/workspace/odd': content})
    with pytest.raises(PlatformUnavailableError):
        await ConfigurationStore(table).snapshot()


class OddPeer(EntryLink):
    """Peer whose configuration has an odd record."""

    def __init__(self, document):
        self.digests = 0
        self.document = document

    async def send_digest(self, digest):
        self.digests += 1
        return DigestReply(configuration_revision=5)

    async def push_configuration(self, update):
        return ConfigurationPosition()

    async def pull_configuration(self, position):
        record = Record(
            kind='workspace', name='odd', revision=5, document=self.document
        )
        return ConfigurationUpdate(
            is_snapshot=True, revision=5, records=[record]
        )

    async def call_jobs(self, call, timeout):
        return JobReply()

    async def close(self):
        """Close nothing."""


def odd_configuration():
    return ConfigurationService(
        ConfigurationStore(MemoryTable()), Mock(), dict, Mock()
    )


@pytest.mark.parametrize('document', [b'', b'\xff', b'{', NESTED[:1000]])
async def test_odd_record_of_a_peer_does_not_end_the_exchange(document):
    """Odd entry ends the loop that exchanges digests with its sender."""
    clock = SystemClock()
    identity = EntryIdentity(
        'own', 1, 'dc', ('127.0.0.1', 1), ('127.0.0.1', 2), (1, 2)
    )
    peer = OddPeer(document)
    exchange = PeerExchange(
        identity,
        Membership(),
        RemoteEntries(Mock()),
        odd_configuration(),
        lambda _: peer,
        clock,
    )
    exchange.add_peer('127.0.0.1:3')
    async with asyncio.timeout(5):
        while peer.digests < 3:
            await asyncio.sleep(0.05)
    await exchange.close()


@pytest.mark.parametrize('content', ODD_BODIES)
async def test_odd_single_rows_count_as_unavailable(content):
    """Odd entry ends the process that reads it."""
    table = MemoryTable()
    await put(table, **{'partition/dc': content, 'configuration/head': content})
    with pytest.raises(PlatformUnavailableError):
        await LeaseRowStore(table, 'dc', 'own').read()
    with pytest.raises(PlatformUnavailableError):
        await ConfigurationStore(table).revision()


@pytest.mark.parametrize('content', ODD_BODIES)
def test_odd_bodies_are_refused(content):
    """Odd entry ends the process that reads it; here, the body of a call."""
    call = HttpCall('POST', '/v1/orders', {}, {}, content)
    assert OrderApi(None).answer(call).status == 400
    assert not ConfigurationCopy(1).put(content, '1')
    with pytest.raises(InvalidInputError):
        parse_job_body(content)


LEDGER_ROW = LedgerRow('d', 1, 'g1', 1, LedgerState.claimed, NOW)


@settings(max_examples=100, deadline=None)
@given(
    odd_versions(
        JobRow(job=JOB),
        KEY_ROW,
        {'is_snapshot': True, 'revision': 1, 'records': [['a', 'b', 1, 'c']]},
        msgspec.json.decode(encode_ledger_row(LEDGER_ROW)),
    )
)
def test_any_bytes_are_a_row_or_unreadable(content):
    """Odd entry ends the process that reads the list."""
    assert isinstance(decode_job_row(content), Job | Unreadable)
    assert isinstance(
        decode_idempotency_key_row(content), IdempotencyKeyRow | Unreadable
    )
    assert isinstance(decode_copy(content), Changes | Snapshot | Unreadable)
    try:
        assert isinstance(decode_row(content), LedgerRow)
    except InvalidInputError as error:
        assert len(str(error)) < 1000
