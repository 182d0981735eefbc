"""A configuration change takes effect once, even if answers are lost."""

import pytest

from dragonflynotch.core.configuration import Change, RecordKey
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.entry.configuration.configuration_store import (
    ConfigurationStore,
    RevisionMismatch,
)
from dragonflynotch.testing.table import MemoryTable, TableFault

KEY = RecordKey('workspace', 'resort')


class AnswerLosingTable(MemoryTable):
    """Loses the answers of the first commits, before or after they apply."""

    def __init__(self, faults):
        super().__init__()
        self._faults = list(faults)

    async def commit(self, writes, writer_token):
        fault = self._faults.pop(0) if self._faults else ''
        if fault == 'before':
            raise UncertainWriteError('lost before the effect')
        outcome = await super().commit(writes, writer_token)
        if fault == 'after':
            raise UncertainWriteError('lost after the effect')
        return outcome


@pytest.mark.parametrize(
    'faults', [['after'], ['before'], ['before', 'after'], ['after', 'after']]
)
async def test_lost_answer_is_settled(faults):
    """Guards against a change that is reported as lost or made twice.

    The answer to a commit is lost before or after the commit takes effect.
    """
    store = ConfigurationStore(AnswerLosingTable(faults))
    assert await store.write(KEY, b'{}', 0) == Change(1, KEY, b'{}')
    assert (await store.snapshot()).revision == 1


async def test_lost_answer_is_settled_after_a_later_change():
    """Guards against reporting a committed change as lost.

    Another entry commits a change after the answer was lost, so the head row
    names another writer.
    """
    table = AnswerLosingTable(['after'])
    first = ConfigurationStore(table, lambda: 'first')
    original = table.commit

    async def commit_then_other(writes, writer_token):
        try:
            return await original(writes, writer_token)
        except UncertainWriteError:
            table.commit = original
            other = ConfigurationStore(table, lambda: 'other')
            assert isinstance(await other.write(KEY, b'{"n":1}', 1), Change)
            raise

    table.commit = commit_then_other
    assert await first.write(KEY, b'{}', 0) == Change(1, KEY, b'{}')
    assert await first.revision() == 2


async def test_operator_with_an_old_revision_gets_a_conflict():
    """Guards against a lost update.

    The operator read the record before another operator changed it.
    """
    store = ConfigurationStore(MemoryTable())
    await store.write(KEY, b'{}', 0)
    await store.write(KEY, b'{"n":1}', 1)
    assert await store.write(KEY, b'{"n":2}', 1) == RevisionMismatch(2)


async def test_answers_that_stay_lost_are_reported_as_uncertain():
    """Guards against reporting an outcome that is not known.

    Every repetition of the commit loses its answer, too.
    """
    table = MemoryTable()
    table.fault = TableFault.lose_answers
    store = ConfigurationStore(AnswerLosingTable(['before'] * 9))
    with pytest.raises(UncertainWriteError):
        await store.write(KEY, b'{}', 0)


async def test_outage_is_reported_as_not_written():
    """Guards against an uncertain outcome if certainly nothing was written.

    The table service is down when the write begins.
    """
    table = MemoryTable()
    table.fault = TableFault.down
    with pytest.raises(PlatformUnavailableError):
        await ConfigurationStore(table).write(KEY, b'{}', 0)


async def test_lost_answer_hidden_by_many_changes_is_uncertain():
    """Guards against a false conflict.

    After a lost answer, so many other changes are committed that the head row
    no longer lists the token of the first one.
    """
    table = AnswerLosingTable(['before'])
    original = table.commit

    async def commit_after_others(writes, writer_token):
        table.commit = original
        try:
            return await original(writes, writer_token)
        finally:
            other = ConfigurationStore(table)
            for revision in range(70):
                await other.write(RecordKey('workspace', 'b'), b'{}', revision)

    table.commit = commit_after_others
    with pytest.raises(UncertainWriteError):
        await ConfigurationStore(table).write(KEY, b'{}', 0)
