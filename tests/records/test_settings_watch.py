"""Tests of settings that change while a program runs."""

import asyncio

import pytest

from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.platform.settings import load_settings
from dragonflynotch.records.settings_watch import SettingsWatch

SETTINGS = """node=front-1
ip=127.0.0.1
port_range=7000,7015
platform.address=127.0.0.1:9000
listen.front=127.0.0.1:8521
bounds.stop_ms=400
"""


class Reload:
    """A watch with the settings that it has applied and its log entries."""

    def __init__(self, path, monkeypatch):
        self.path = path
        self.entries = {}
        monkeypatch.setattr(
            decision_log,
            'record',
            lambda event, **fields: self.entries.setdefault(event, fields),
        )
        path.write_text(SETTINGS)
        self.applied = []
        self.watch = SettingsWatch(
            path, load_settings(path), load_settings, self.applied.append
        )
        self._task = asyncio.create_task(self.watch.run())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def wait_for(self, event):
        """Wait for a log entry and return its fields."""
        async with asyncio.timeout(5):
            while event not in self.entries:
                await asyncio.sleep(0.02)
        return self.entries[event]


@pytest.fixture
async def reload(tmp_path, monkeypatch):
    reload = Reload(tmp_path / 'front.conf', monkeypatch)
    yield reload
    await reload.stop()


@pytest.mark.parametrize('is_signalled', [False, True])
async def test_changed_bounds_apply_with_and_without_a_signal(
    reload, is_signalled
):
    """A process must not go on with the settings of its start."""
    reload.path.write_text(SETTINGS.replace('400', '900'))
    if is_signalled:
        reload.watch.request_reload()
    entry = await reload.wait_for('settings_reloaded')
    assert entry['applied'] == ['bounds']
    assert [one.bounds.max_stop_ms for one in reload.applied] == [900]


@pytest.mark.parametrize(
    'text',
    ['', 'node=front-1', SETTINGS.replace('400', 'soon'), '\udcff'],
)
async def test_invalid_file_leaves_the_settings_in_force(reload, text):
    """A file that is half written or malformed must not end the process."""
    reload.path.write_bytes(text.encode(errors='surrogateescape'))
    await reload.wait_for('settings_rejected')
    assert not reload.applied
    reload.path.write_text(SETTINGS.replace('400', '900'))
    await reload.wait_for('settings_reloaded')
    assert reload.applied


async def test_missing_file_leaves_the_settings_in_force(reload):
    """A file that is replaced is missing for a moment."""
    reload.path.unlink()
    await reload.wait_for('settings_rejected')
    assert not reload.applied


async def test_change_of_an_address_is_logged_and_not_applied(reload):
    """An operator must see which changes only take effect at a restart."""
    reload.path.write_text(SETTINGS.replace('8521', '8522'))
    entry = await reload.wait_for('settings_reloaded')
    assert entry['needs_restart'] == ['caller_address']
    assert not reload.applied


async def test_change_before_the_start_of_the_watch_is_noticed(tmp_path):
    """A file that changes while the program starts must not be missed."""
    path = tmp_path / 'front.conf'
    path.write_text(SETTINGS)
    old = load_settings(path)
    path.write_text(SETTINGS.replace('400', '900'))
    applied = []
    watch = SettingsWatch(path, old, load_settings, applied.append)
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(5):
        while not applied:
            await asyncio.sleep(0.02)
    task.cancel()
    assert applied[0].bounds.max_stop_ms == 900
