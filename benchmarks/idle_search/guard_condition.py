"""What faults do to a simulated guard at a moment."""

from dataclasses import dataclass

__all__ = ('GuardCondition',)


@dataclass(frozen=True, slots=True)
class GuardCondition:
    """What faults do to a guard at a moment.

    Parameters
    ----------
    is_down : bool
        Whether the guard restarts.
    may_report, hears_orders : bool
        Whether its writes reach the store, and whether orders reach it.
    is_refused : bool
        Whether its minion answers no start.
    report_delay_ms, order_delay_ms : int
        Additional delay of what is sent now.
    """

    is_down: bool = False
    may_report: bool = True
    hears_orders: bool = True
    is_refused: bool = False
    report_delay_ms: int = 0
    order_delay_ms: int = 0

    @property
    def is_heard(self) -> bool:
        """Whether its reports reach the store without additional delay."""
        return not self.is_down and self.may_report and not self.report_delay_ms

    @property
    def may_start(self) -> bool:
        """Whether an order that is given now would start in time."""
        return not (
            self.is_down
            or self.is_refused
            or self.order_delay_ms
            or not self.hears_orders
        )
