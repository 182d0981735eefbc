"""The platform's words are decoded once, and bad bytes are left out."""

import msgspec
import pytest

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.platform.configuration import decode_deployment
from dragonflynotch.platform.jobs import decode_job, is_job_id
from dragonflynotch.platform.minion import decode_heartbeat
from dragonflynotch.platform.settings import load_settings
from dragonflynotch.workflows.deployment import Queue
from dragonflynotch.workflows.resources import Resources

QUEUE = Queue('queue', 'h', '/q/', 'planner')


def encode(value):
    return msgspec.json.encode(value)


def test_job_is_decoded_into_steps():
    """Each field of a step arrives under its own name."""
    job = decode_job(
        encode(
            {
                'spec': 'text',
                'steps': [
                    {'count': 2, 'cpu': 500, 'mem_mb': 256, 'gpu': 1},
                    {
                        'count': 1,
                        'cpu': 100,
                        'estimated_ms': 900,
                        'after': [0],
                        'gang': True,
                        'same_rack': True,
                        'checkpointing': True,
                        'affinity': 'r1',
                        'constraints': 'a',
                        'anti_affinity': 3,
                    },
                ],
            }
        ),
        QUEUE,
        'team',
    )
    first, second = job.steps
    assert first.needs == Resources(500, 256, 1)
    assert second.after == (0,)
    assert second.is_gang
    assert second.wants_one_rack
    assert second.has_checkpoints
    assert (second.data_rack, second.constraint) == ('r1', 'a')
    assert second.max_per_worker == 3


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xff',
        b'[]',
        encode({'spec': 'x', 'steps': []}),
        encode({'spec': 'x', 'steps': [{'count': 0}]}),
        encode({'spec': 'x', 'steps': [{'count': 1, 'after': [0]}]}),
        encode({'spec': 'x', 'steps': [{'count': 1, 'cpu': -1}]}),
        encode({'spec': 5, 'steps': [{'count': 1}]}),
    ],
)
def test_senseless_job_is_refused(body):
    """A job that cannot be scheduled must not be stored."""
    assert decode_job(body, QUEUE, 'team') is None


def test_identifiers_are_16_hexadecimal_digits():
    """Anything else is not the path of a job."""
    assert is_job_id('0123456789abcdef')
    assert not is_job_id('0123456789abcde')
    assert not is_job_id('0123456789abcdeg')


def test_unreadable_parts_of_the_configuration_are_left_out():
    """One bad entry must not take the others out of force."""
    deployment = decode_deployment(
        encode(
            {
                'version': 7,
                'routes': [
                    {'name': 1},
                    {
                        'name': 'r',
                        'host': 'h',
                        'prefix': '/p/',
                        'service': 's',
                        'priority': 0,
                    },
                ],
                'services': [{'nothing': 1}, {'name': 's'}],
                'tenants': [
                    {'name': 't', 'api_keys': 5},
                    {
                        'name': 'u',
                        'api_keys': ['k'],
                        'guaranteed': {'gpu': 16},
                    },
                ],
            }
        )
    )
    assert deployment.version == 7
    assert list(deployment.queues) == ['r']
    assert list(deployment.services) == ['s']
    assert deployment.workspace_by_key == {'k': 'u'}
    assert deployment.workspaces['u'].guaranteed_accelerators == 16


@pytest.mark.parametrize('content', [b'', b'\xff\xfe', b'{}', b'[1]'])
def test_unreadable_configuration_is_none(content):
    """Bytes that cannot be read leave the present version in force."""
    assert decode_deployment(content) is None


def test_longest_prefix_selects_the_queue():
    """Queues may lie below each other."""
    deployment = decode_deployment(
        encode(
            {
                'version': 1,
                'routes': [
                    {
                        'name': name,
                        'host': 'h',
                        'prefix': prefix,
                        'service': 's',
                    }
                    for name, prefix in (('a', '/p/'), ('b', '/p/q/'))
                ],
            }
        )
    )
    assert deployment.queue_for('h', '/p/q/1').name == 'b'
    assert deployment.queue_for('h', '/p/1').name == 'a'
    assert deployment.queue_for('other', '/p/1') is None


@pytest.mark.parametrize(
    'body',
    [
        b'{',
        encode({'service': 's', 'address': '10.0.0.1:1'}),
        encode({'service': 's', 'address': 'nowhere', 'state': 'ready'}),
        encode({'service': 's', 'address': '10.0.0.1:1', 'state': 'odd'}),
        encode(
            {
                'service': 's',
                'address': '10.0.0.1:1',
                'state': 'ready',
                'capacity': 'much',
            }
        ),
    ],
)
def test_heartbeat_of_another_writer_names_no_minion(body):
    """A heartbeat with missing or mistyped fields is not used."""
    assert decode_heartbeat('i-1', body) is None


def test_heartbeat_names_kind_and_rack():
    """The rack is the second label."""
    heartbeat = decode_heartbeat(
        'i-1',
        encode(
            {
                'service': 's',
                'address': '10.0.0.1:80',
                'state': 'draining',
                'labels': ['a', 'r1-2'],
                'capacity': {'cpu': 1, 'mem_mb': 2, 'gpu': 3},
                'remaining_ms': 1500,
            }
        ),
    )
    assert heartbeat.is_draining
    assert heartbeat.rack == 'r1-2'
    assert heartbeat.capacity == (1, 2, 3)
    assert heartbeat.address == ('10.0.0.1', 80)


def test_settings_are_checked(tmp_path):
    """A missing address is named, not found out later."""
    path = tmp_path / 'settings'
    path.write_text('node=n\nip=127.0.0.1\nport_range=7000,7015\nnew=1\n')
    with pytest.raises(InvalidInputError, match=r'platform\.address'):
        load_settings(path)
    path.write_text(
        f'{path.read_text()}platform.address=127.0.0.1:1\n'
        'bounds.hold_max_ms=often\n'
    )
    with pytest.raises(InvalidInputError, match='hold_max_ms'):
        load_settings(path)


def test_settings_of_a_side(tmp_path):
    """Bounds in seconds are read as milliseconds."""
    path = tmp_path / 'settings'
    path.write_text(
        'node=n\nip=10.0.0.2\nport_range=7000,7015\n'
        'platform.address=10.0.0.1:1\nlisten.control=10.0.0.2:2\n'
        'app=10.0.0.2:3\nbounds.status_s=120\n'
    )
    settings = load_settings(path)
    assert settings.heartbeat_address == ('10.0.0.2', 2)
    assert settings.minion_address == ('10.0.0.2', 3)
    assert settings.bounds.ended_state_ms == 120_000
    assert settings.metrics_address == ('10.0.0.2', 7000)
