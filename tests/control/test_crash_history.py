"""Crashes are reported until they have certainly been read."""

from dragonflynotch.control.crash_history import CrashHistory
from dragonflynotch.workflows.crash_records import MinionCrash


def crash(number, at_ms=0):
    return MinionCrash(f'm{number}', at_ms, [])


def test_crash_is_kept_while_its_orders_exist():
    """A leader that takes over late must still read the crash."""
    history = CrashHistory()
    history.add(crash(1))
    assert history.recent(120_000, lambda minion: minion == 'm1')
    assert not history.recent(120_000, lambda _: False)


def test_crash_outlives_its_orders_for_some_time():
    """A crash is not lost if the orders are removed before it is read."""
    history = CrashHistory()
    history.add(crash(1))
    assert history.recent(59_000, lambda _: False)


def test_report_does_not_grow_without_bound():
    """A minion that crashes all the time must not fill the row."""
    history = CrashHistory()
    for number in range(20):
        history.add(crash(number))
    reported = history.recent(0, lambda _: True)
    assert [entry.minion_id for entry in reported] == [
        f'm{number}' for number in range(12, 20)
    ]


def test_crash_becomes_certain_after_a_restart_of_the_guard():
    """A restart between the crash and the next start must not hide it."""
    history = CrashHistory()
    history.restore([MinionCrash('m1', 0, [], is_certain=False)])
    assert not history.recent(0, lambda _: False)
    history.confirm_replaced('m2')
    assert history.recent(0, lambda _: False) == [crash(1)]


def test_minion_that_responds_again_has_not_crashed():
    """Closed connections alone must not count."""
    history = CrashHistory()
    history.restore([MinionCrash('m1', 0, [], is_certain=False)])
    history.confirm_replaced('m1')
    history.confirm_replaced('m2')
    assert not history.recent(0, lambda _: False)


def test_restored_crash_is_not_counted_again():
    """A restart of the guard must not count a crash twice."""
    history = CrashHistory()
    history.restore([crash(1)])
    history.add(crash(1))
    assert history.total == 0
    assert len(history.recent(0, lambda _: False)) == 1
