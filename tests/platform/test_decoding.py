"""Decoding of jobs, configurations, heartbeats and platform settings."""

import msgspec
import pytest

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.platform.configuration import decode_deployment
from dragonflynotch.platform.evacuations import decode_evacuation
from dragonflynotch.platform.jobs import decode_job, is_job_id
from dragonflynotch.platform.minion import decode_heartbeat
from dragonflynotch.platform.settings import load_settings
from dragonflynotch.workflows.deployment import Queue
from dragonflynotch.workflows.queue_policy import QueuePolicy
from dragonflynotch.workflows.resources import Resources

QUEUE = Queue('queue', 'h', '/q/', 'planner')


def encode(value):
    return msgspec.json.encode(value)


def test_job_is_decoded_into_steps():
    """Guards against fields of a step that are lost or mixed up."""
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


def test_job_keeps_what_its_queue_sets():
    """A later version without the queue left its jobs without attempts."""
    queue = Queue('queue', 'h', '/q/', 'planner', 0, 4, 1.5, 200)
    body = encode({'spec': 'text', 'steps': [{}]})
    job = decode_job(body, queue, 'team', version=7)
    assert job.policy == QueuePolicy('planner', 7, 4, 0, 1.5, 200)


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
def test_invalid_job_is_refused(body):
    """Guards against stored jobs that can never be scheduled."""
    assert isinstance(decode_job(body, QUEUE, 'team'), Unreadable)


def test_job_identifier_is_16_hexadecimal_digits():
    """Guards against paths that are taken for those of jobs."""
    assert is_job_id('0123456789abcdef')
    assert not is_job_id('0123456789abcde')
    assert not is_job_id('0123456789abcdeg')


def test_unreadable_parts_of_the_configuration_are_left_out():
    """Guards against one malformed entry that disables all others."""
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
def test_unreadable_configuration_has_a_reason(content):
    """Guards against a malformed configuration that replaces a valid one."""
    assert isinstance(decode_deployment(content), Unreadable)


def test_longest_prefix_selects_the_queue():
    """Guards against a request that reaches the queue of an outer prefix."""
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
def test_malformed_heartbeat_is_unreadable(body):
    """Guards against heartbeats with missing or mistyped fields."""
    assert isinstance(decode_heartbeat('i-1', body), Unreadable)


def test_heartbeat_is_decoded():
    """Guards against a misread heartbeat; its second label is the rack."""
    heartbeat = decode_heartbeat(
        'i-1',
        encode(
            {
                'service': 's',
                'address': '10.0.0.1:80',
                'state': 'draining',
                'labels': ['a', 'r1-2'],
                'zone': 'hall-a',
                'capacity': {'cpu': 1, 'mem_mb': 2, 'gpu': 3},
                'remaining_ms': 1500,
            }
        ),
    )
    assert heartbeat.is_draining
    assert heartbeat.rack == 'r1-2'
    assert heartbeat.data_centre == 'hall-a'
    assert heartbeat.capacity == (1, 2, 3)
    assert heartbeat.address == ('10.0.0.1', 80)
    assert heartbeat.remaining_ms == 1500


@pytest.mark.parametrize('remaining', [None, 'soon', -1, True, 1e300, [1]])
def test_unreadable_remaining_time_is_unknown(remaining):
    """The rest of the heartbeat must remain in force."""
    heartbeat = decode_heartbeat(
        'i-1',
        encode(
            {
                'service': 's',
                'address': '10.0.0.1:80',
                'state': 'draining',
                'remaining_ms': remaining,
            }
        ),
    )
    assert heartbeat.is_draining
    assert heartbeat.remaining_ms is None


@pytest.mark.parametrize('fields', [{}, {'zone': 5}, {'zone': None}])
def test_heartbeat_without_data_centre_is_decoded(fields):
    """Guards against a worker that is lost for the lack of its data centre."""
    heartbeat = decode_heartbeat(
        'i-1',
        encode(
            {
                'service': 's',
                'address': '10.0.0.1:80',
                'state': 'ready',
                **fields,
            }
        ),
    )
    assert heartbeat.data_centre == ''


def test_invalid_settings_are_refused(tmp_path):
    """Guards against errors in the settings that appear only in operation."""
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


def test_settings_of_side_program(tmp_path):
    """Guards against bounds in seconds that are taken for milliseconds."""
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
    assert settings.bounds.evacuation_bound_ms is None
    assert settings.metrics_address == ('10.0.0.2', 7000)


def test_bound_of_evacuations_is_read(tmp_path):
    """Guards against starts in an evacuated data centre after the bound."""
    path = tmp_path / 'settings'
    path.write_text(
        'node=n\nip=10.0.0.2\nport_range=7000,7015\n'
        'platform.address=10.0.0.1:1\nbounds.evacuate_ms=5000\n'
    )
    assert load_settings(path).bounds.evacuation_bound_ms == 5000


@pytest.mark.parametrize(
    ('key', 'data_centre'),
    [
        ('evacuate/hall-a', 'hall-a'),
        ('evacuate/', ''),
        ('evacuate', None),
        ('config', None),
        ('other/evacuate/hall-a', None),
    ],
)
def test_evacuation_is_decoded_from_its_key(key, data_centre):
    """Guards against rows that are mistaken for evacuations, or overlooked."""
    assert decode_evacuation(key) == data_centre


@pytest.mark.parametrize(
    'lines, cores, link_mbps',
    [
        ('', None, None),
        ('limits.cores=2\nlimits.cpu_share=0.5\n', 1, None),
        ('limits.cpu_share=0.39\nlimits.link_mbps=10\n', 0.39, 10),
        ('limits.cores=4\n', 4, None),
        ('limits.cores=many\nlimits.link_mbps=0\n', None, None),
        ('limits.cores=nan\nlimits.link_mbps=inf\n', None, None),
    ],
)
def test_limits_of_a_machine(tmp_path, lines, cores, link_mbps):
    """Unreadable limits, which only order candidates, must not stop a start."""
    path = tmp_path / 'settings'
    path.write_text(
        'node=n\nip=10.0.0.2\nport_range=7000,7015\n'
        f'platform.address=10.0.0.1:1\n{lines}'
    )
    settings = load_settings(path)
    assert (settings.cores, settings.link_mbps) == (cores, link_mbps)
