"""Delay of a candidate with little capacity before it claims the lease."""

from datetime import timedelta

__all__ = ('claim_delay',)

# Longer than the interval at which candidates read the lease row, so that a
# capable candidate claims before any weak one.
_MIN_DELAY = timedelta(milliseconds=410)
_MAX_DELAY = timedelta(milliseconds=490)
# The decisions of a round use one core at most.
_NEEDED_CORES = 1
# Rows of several MB are loaded within the limit of a load.
_NEEDED_LINK_MBPS = 25


def claim_delay(cores: float | None, link_mbps: float | None) -> timedelta:
    """Return the delay for a candidate of this capacity.

    Parameters
    ----------
    cores : float or None
        Processor capacity in cores; ``None`` if it is not limited.
    link_mbps : float or None
        Bandwidth in Mbit/s; ``None`` if it is not limited.
    """
    sufficient = min(
        1 if cores is None else cores / _NEEDED_CORES,
        1 if link_mbps is None else link_mbps / _NEEDED_LINK_MBPS,
        1,
    )
    if sufficient == 1:
        return timedelta()
    return _MIN_DELAY + (_MAX_DELAY - _MIN_DELAY) * (1 - sufficient)
