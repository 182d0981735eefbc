"""Whether the rows of a submitted job fit into the store."""

from dragonflynotch.control.rows import StoreLimits
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.workflows.jobs import JobSpec
from dragonflynotch.workflows.records import Order, encode_row

__all__ = ('check_storable',)

# Share of a row that is kept for what an order holds besides the text of its
# job: a checkpoint, times and needs.
_ORDER_RESERVE_DIVISOR = 8


def check_storable(job_id: str, spec: JobSpec, limits: StoreLimits) -> None:
    """Check that the rows of a job can be stored.

    Raises
    ------
    InvalidInputError
        If the description of the job, or its text in an order, is too long.
    """
    _check(
        f'description of job {job_id}', len(encode_row(spec)), limits.row_bytes
    )
    order = Order(payload=spec.payload, run=1, start_by_ms=0)
    reserve = limits.row_bytes // _ORDER_RESERVE_DIVISOR
    _check(
        f'text of job {job_id}',
        len(encode_row(order)),
        limits.row_bytes - reserve,
    )


def _check(name: str, size: int, max_bytes: int) -> None:
    if size > max_bytes:
        raise InvalidInputError(
            name,
            f'{size} bytes as it is stored',
            f'at most {max_bytes} bytes',
        )
