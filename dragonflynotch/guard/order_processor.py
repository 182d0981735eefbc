"""Applies orders of the partition owner to the member table of a guard."""

from collections.abc import Callable
from datetime import datetime

from dragonflynotch.guard.members import Member, MemberTable
from dragonflynotch.guard.task_lease import TaskLease
from dragonflynotch.links.orders import (
    CheckpointOrder,
    ConfirmOrder,
    MemberPhase,
    Order,
    OrderBatch,
    OrderReply,
    PrepareOrder,
    Refusal,
    ReleaseOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)

__all__ = ('OrderProcessor',)


class OrderProcessor:
    """Validates batches of orders and applies them to the member table.

    An order only changes the table; the task reconciler then sends commands to
    the worker. Applying a batch is idempotent.

    Parameters
    ----------
    table : MemberTable
        Members of the guard.
    lease : TaskLease
        Task lease and fences of the guard.
    incarnation : int
        Random number that identifies this process of the guard.
    prepare_refusal_reason : callable
        Returns why the guard accepts no new members; empty if it does.
    """

    def __init__(
        self,
        table: MemberTable,
        lease: TaskLease,
        incarnation: int,
        prepare_refusal_reason: Callable[[], str],
    ) -> None:
        """Apply orders to ``table``."""
        self._table = table
        self._lease = lease
        self._incarnation = incarnation
        self._prepare_refusal_reason = prepare_refusal_reason

    def apply(
        self, batch: OrderBatch, lease_required_at: datetime
    ) -> OrderReply:
        """Apply a batch, or refuse it for its incarnation, fence or lease.

        Parameters
        ----------
        batch : OrderBatch
            Orders of one owner.
        lease_required_at : datetime
            When the lease must still be valid for orders that start or
            continue work.
        """
        if batch.incarnation != self._incarnation:
            return OrderReply(self._lease.highest_fence, 'other_incarnation')
        if not self._lease.observe_fence(batch.fence):
            return OrderReply(self._lease.highest_fence, 'fence_too_low')
        needs_lease = any(
            isinstance(order, PrepareOrder | StartOrder | ConfirmOrder)
            for order in batch.orders
        )
        # A restarted guard does not know earlier fences, so a batch with an
        # outdated fence could pass the check above. The lease proves that the
        # sender is still the owner.
        if needs_lease and not self._lease.is_valid_for(
            batch.fence, lease_required_at
        ):
            return OrderReply(self._lease.highest_fence, 'no_lease')
        refusals = []
        for order in batch.orders:
            reason = self._apply_order(order)
            if reason:
                refusals.append(Refusal(order.job_id, order.attempt, reason))
        return OrderReply(self._lease.highest_fence, '', tuple(refusals))

    def _apply_order(self, order: Order) -> str:
        member = self._table.find((order.job_id, order.attempt))
        match order:
            case PrepareOrder():
                return '' if member else self._prepare(order)
            case StopOrder():
                self._stop(order, member)
                return ''
            case ReleaseOrder():
                self._release(order, member)
                return ''
        if member is None:
            return 'unknown_member'
        return _apply_to_member(order, member)

    def _prepare(self, order: PrepareOrder) -> str:
        reason = self._prepare_refusal_reason() or self._table.refusal_reason(
            order
        )
        if not reason:
            self._table.add(Member(order))
        return reason

    def _stop(self, order: StopOrder, member: Member | None) -> None:
        key = (order.job_id, order.attempt)
        self._table.close(key)
        if member is None:
            # The prepare order is lost or delayed. The owner waits for the
            # outcome of the stop, so a stopped member is reported.
            member = Member(
                PrepareOrder(*key, (), 0, 0, '', '', is_checkpointable=False)
            )
            member.end(MemberPhase.stopped)
            self._table.add(member)
        member.stop(order.checkpoint_limit_ms, 'ordered', order.label)

    def _release(self, order: ReleaseOrder, member: Member | None) -> None:
        self._table.close((order.job_id, order.attempt))
        if member is not None:
            member.stop(0, 'released')
            member.is_released = True


def _apply_to_member(
    order: StartOrder | ConfirmOrder | CheckpointOrder | ThrottleOrder,
    member: Member,
) -> str:
    match order:
        case StartOrder():
            if member.phase is MemberPhase.prepared:
                member.phase = MemberPhase.starting
            elif member.phase is MemberPhase.preparing:
                return 'not_prepared'
        case ConfirmOrder():
            member.is_confirmed = True
        case CheckpointOrder():
            member.requested_checkpoint_label = order.label
        case ThrottleOrder():
            member.is_throttle_requested = True
    return ''
