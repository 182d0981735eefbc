"""Applies orders of the partition owner to the members of a guard."""

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

__all__ = ('OrderBook',)


class OrderBook:
    """Checks the fence and the lease of a batch and records its orders.

    An order only changes the table; the task keeper carries it out on the
    worker. Applying the same batch again changes nothing.

    Parameters
    ----------
    table : MemberTable
        Members of the guard.
    lease : TaskLease
        Lease and fences.
    incarnation : int
        Random number drawn at the start of the guard.
    refuse_prepare : callable
        Returns why the guard takes no new member; empty if it does.
    """

    def __init__(
        self,
        table: MemberTable,
        lease: TaskLease,
        incarnation: int,
        refuse_prepare: Callable[[], str],
    ) -> None:
        """Apply orders to ``table``."""
        self._table = table
        self._lease = lease
        self._incarnation = incarnation
        self._refuse_prepare = refuse_prepare

    def apply(self, batch: OrderBatch, leased_at: datetime) -> OrderReply:
        """Apply a batch, or refuse it whole by receiver, fence or lease.

        Parameters
        ----------
        batch : OrderBatch
            Orders of one owner.
        leased_at : datetime
            When the lease must still hold for orders that start work.
        """
        if batch.incarnation != self._incarnation:
            return OrderReply(self._lease.highest_fence, 'other_incarnation')
        if not self._lease.note_fence(batch.fence):
            return OrderReply(self._lease.highest_fence, 'fence_too_low')
        needs_lease = any(
            isinstance(order, PrepareOrder | StartOrder | ConfirmOrder)
            for order in batch.orders
        )
        # After a restart the guard does not know earlier fences; the lease
        # proves that the sender is still the owner.
        if needs_lease and not self._lease.is_held_under(
            batch.fence, leased_at
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
        return _advance(order, member)

    def _prepare(self, order: PrepareOrder) -> str:
        reason = self._refuse_prepare() or self._table.refusal(order)
        if not reason:
            self._table.add(Member(order))
        return reason

    def _stop(self, order: StopOrder, member: Member | None) -> None:
        key = (order.job_id, order.attempt)
        self._table.close(key)
        if member is None:
            # The prepare order was lost or is late; the owner still waits for
            # the outcome of the stop.
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


def _advance(
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
            member.wanted_label = order.label
        case ThrottleOrder():
            member.wants_throttle = True
    return ''
