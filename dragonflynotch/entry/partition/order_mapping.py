"""Maps actions of the partition to orders for guards."""

from datetime import timedelta

from dragonflynotch.core.actions import (
    CheckpointMember,
    MemberOrder,
    PrepareMember,
    StartMember,
    StopMember,
    ThrottleMember,
)
from dragonflynotch.links.orders import (
    CheckpointOrder,
    Order,
    PrepareOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)

__all__ = ('order_for',)

_MILLISECOND = timedelta(milliseconds=1)


def order_for(action: MemberOrder, label: str) -> Order:
    """Return the order that carries out an action.

    Parameters
    ----------
    action : MemberOrder
        The action.
    label : str
        Name of the checkpoint; the same for all actions of one decision, so
        that the members of a gang write parts of one checkpoint.

    Raises
    ------
    TypeError
        If the action is of an unknown kind.
    """
    key = (action.job_id, action.attempt)
    match action:
        case PrepareMember():
            return _prepare_order(action)
        case StartMember():
            return StartOrder(*key)
        case CheckpointMember():
            return CheckpointOrder(*key, label)
        case ThrottleMember():
            return ThrottleOrder(*key)
        case StopMember():
            limit_ms = action.checkpoint_limit // _MILLISECOND
            return StopOrder(*key, limit_ms, label)
    raise TypeError(f'no order is defined for action {action!r}')


def _prepare_order(action: PrepareMember) -> PrepareOrder:
    spec = action.spec
    accelerators = action.member.accelerators
    # A member without accelerators gets the cores and memory of one.
    resource_units = max(1, len(accelerators))
    return PrepareOrder(
        action.job_id,
        action.attempt,
        accelerators,
        spec.cores_per_accelerator * resource_units,
        spec.memory_mb_per_accelerator * resource_units,
        spec.command,
        action.checkpoint,
        spec.is_checkpointable,
    )
