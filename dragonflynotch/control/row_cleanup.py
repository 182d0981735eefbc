"""Rows of other writers that the leader deletes or replaces.

These writes are not conditional on the lease: what they depend on has ended for
certain, whichever node writes them.
"""

from dragonflynotch.control.earlier_ends import take_fitting
from dragonflynotch.control.report_size import fit_report
from dragonflynotch.control.rows import (
    ABSENT,
    REPORTS,
    SUBMISSIONS,
    Committed,
    RowName,
    RowStore,
    RowWrite,
    shard_of,
)
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.crash_records import confirm_crashes
from dragonflynotch.workflows.early_cancellations import EarlyCancellation
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.records import EarlierEnd, Report, encode_row

__all__ = ('delete_cancellation', 'delete_submission', 'void_report')


async def delete_submission(store: RowStore, job_id: str) -> bool:
    """Delete the rows of a job that ended long ago.

    Returns
    -------
    bool
        Whether the rows have certainly been deleted.
    """
    part = shard_of(job_id)
    names = [
        RowName(SUBMISSIONS.name, part, f'{job_id}/{kind}')
        for kind in ('spec', 'cancel')
    ]
    try:
        await store.commit([RowWrite(name, None) for name in names], [])
    except (
        PlatformUnavailableError,
        UncertainWriteError,
        InvalidInputError,
    ) as error:
        decision_log.record('submission_kept', job=job_id, reason=str(error))
        return False
    return True


async def delete_cancellation(
    store: RowStore, cancellation: EarlyCancellation
) -> None:
    """Delete the cancellation of a job that has not arrived.

    If the job arrives at the same time, the cancellation is kept.
    """
    part = shard_of(cancellation.job_id)
    name = RowName(SUBMISSIONS.name, part, cancellation.key)
    spec = RowName(SUBMISSIONS.name, part, f'{cancellation.job_id}/spec')
    try:
        await store.commit([RowWrite(name, None)], [(spec, ABSENT)])
    except (
        PlatformUnavailableError,
        UncertainWriteError,
        InvalidInputError,
    ) as error:
        decision_log.record(
            'cancellation_kept', row=cancellation.key, reason=str(error)
        )


async def void_report(
    store: RowStore, worker: Worker, *, has_minion_ended: bool = False
) -> bool:
    """Replace the report of a guard whose authority or minion has ended.

    The write is conditional on the version of the report. If the guard writes
    a report at the same time, only one of the two writes takes effect.

    Parameters
    ----------
    has_minion_ended : bool
        Whether the minion has ended for certain. A crash of it that its guard
        suspects then counts.

    Returns
    -------
    bool
        Whether the report was replaced, so that the runs of the worker have
        certainly ended.
    """
    node = worker.node
    name = RowName(REPORTS.name, shard_of(node), node)
    ends = [EarlierEnd(worker.minion_id, end) for end in worker.report.ended]
    # The next process of the guard may still confirm a suspected crash, and the
    # next leader may still have to record the ends and the checkpoints.
    crashes = worker.report.crashes
    if has_minion_ended:
        crashes = confirm_crashes(crashes, worker.minion_id)
    empty = Report(
        '',
        '',
        is_ready=False,
        is_live=False,
        authority_end_ms=0,
        token=worker.report.token,
        abandoned=worker.report.running or worker.report.abandoned,
        crashes=crashes,
        earlier_ends=list(take_fitting([*worker.report.earlier_ends, *ends])),
    )
    content = encode_row(fit_report(empty, store.limits.row_bytes))
    try:
        outcome = await store.commit(
            [RowWrite(name, content)], [(name, worker.version)]
        )
    except (
        PlatformUnavailableError,
        UncertainWriteError,
        InvalidInputError,
    ) as error:
        decision_log.record('guard_not_voided', guard=node, reason=str(error))
        return False
    return isinstance(outcome, Committed)
