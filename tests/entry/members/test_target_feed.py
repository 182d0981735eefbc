"""Remote minions are live exactly as long as an entry lists them as heard."""

from datetime import timedelta
from random import Random

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.membership import GuardInfo, Membership, MinionInfo
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.entry.members.target_feed import TargetFeed
from dragonflynotch.entry.peers.remote_entries import RemoteEntries
from dragonflynotch.links.digest_codec import encode_guard, milliseconds
from dragonflynotch.links.entry_link_pb2 import Digest


class RemoteSite:
    """Entries of another data centre that send digests to this one."""

    def __init__(self):
        self.clock = ManualClock()
        self.routing = RoutingTable('lautoka', Random(3))
        self.remote = RemoteEntries(
            TargetFeed('lautoka', self.routing, lambda: None)
        )
        self.senders = {'a': Membership(), 'b': Membership()}
        self.applied = {'a': 0, 'b': 0}

    def announce(self, sender, sequence=1, guard_id='guard-1'):
        self.senders[sender].observe(
            GuardInfo(
                guard_id=guard_id,
                incarnation=1,
                sequence=sequence,
                data_centre='nadi',
                address=('127.0.0.1', 1),
                is_ready=True,
                minion=MinionInfo('minion-1', 8, 8),
                worker=None,
                free_accelerators=0,
                schema_versions=(1, 2),
                heard_at=self.clock.now(),
            )
        )

    def send_digest(self, sender, incarnation=1):
        now = self.clock.now()
        membership = self.senders[sender]
        membership.expire(now)
        delta = membership.delta(self.applied[sender], now)
        self.applied[sender] = self.remote.apply(
            Digest(
                entry_id=sender,
                incarnation=incarnation,
                data_centre='nadi',
                number=delta.version,
                base=delta.base,
                changed=[encode_guard(guard, now) for guard in delta.changed],
                left=delta.left,
                oldest_age_ms=milliseconds(delta.oldest_age),
            ),
            now,
        )

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @property
    def is_live(self):
        return bool(self.routing.live_targets(self.clock.now()))


@pytest.fixture
def site():
    return RemoteSite()


def test_unchanged_member_stays_live_by_digests_without_it(site):
    """Guards against remote minions that expire although they are live.

    A digest does not repeat guards that have not changed.
    """
    for sequence in range(1, 12):
        site.announce('a', sequence)
        site.send_digest('a')
        site.advance(0.7)
    assert site.is_live
    chosen = site.routing.choose(site.clock.now())
    assert isinstance(chosen, Target)


def test_silent_entry_ends_what_it_listed(site):
    """Guards against remote guards that stay live without any digest (G6)."""
    site.announce('a')
    site.send_digest('a')
    site.advance(2.5)
    assert site.is_live
    site.advance(0.2)
    assert not site.is_live


def test_silent_guard_is_gone_within_3_s_although_its_entry_sends(site):
    """Guards against a failed guard that stays live.

    Its entry goes on to send digests for another guard.
    """
    site.announce('a', guard_id='live')
    site.announce('a')
    site.send_digest('a')
    for sequence in range(2, 10):
        site.advance(0.37)
        site.announce('a', sequence, guard_id='live')
        site.send_digest('a')
    now = site.clock.now()
    live = {target.guard_id for target in site.routing.live_targets(now)}
    assert live == {'live'}


def test_member_stays_while_one_of_two_entries_lists_it(site):
    """Guards against losing remote minions if one of two entries stops."""
    for sequence in range(1, 10):
        site.announce('a', sequence)
        site.announce('b', sequence)
        if sequence == 1:
            site.send_digest('a')
        site.send_digest('b')
        site.advance(0.5)
    assert site.is_live


def test_restarted_entry_lists_anew(site):
    """Guards against guards that only a former process of an entry listed."""
    site.announce('a')
    site.send_digest('a')
    site.senders['a'] = Membership()
    site.applied['a'] = 0
    for _ in range(4):
        site.advance(0.7)
        site.send_digest('a', incarnation=2)
    assert not site.is_live
