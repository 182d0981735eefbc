"""Registry of the policies and the replay of a trace with one of them."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from benchmarks.policy.baselines import (
    BestFitPacking,
    EasyBackfill,
    PriorityBackfill,
    StrictFifo,
)
from benchmarks.policy.driver import Replay
from benchmarks.policy.partitioned import PartitionScheduler
from benchmarks.policy.results import PolicyResult, summarise
from benchmarks.policy.scheduler import Scheduler
from benchmarks.policy.trace import Site, Trace

__all__ = ('POLICIES', 'run_policy')

POLICIES: Final[Mapping[str, Callable[[Site], Scheduler]]] = MappingProxyType(
    {
        'partition': lambda site: PartitionScheduler(site.name),
        'fifo': lambda site: StrictFifo(),
        'best-fit': lambda site: BestFitPacking(),
        'easy': lambda site: EasyBackfill(),
        'easy-priority': lambda site: PriorityBackfill(),
    }
)


def run_policy(policy: str, trace: Trace) -> PolicyResult:
    """Replay a trace with one scheduler for each data centre.

    Parameters
    ----------
    policy : str
        A name in ``POLICIES``.
    trace : Trace
        Arrivals, faults and data centres to replay.

    Returns
    -------
    PolicyResult
        Results of the policy over all data centres.

    Raises
    ------
    KeyError
        If the policy is unknown.
    """
    create = POLICIES[policy]
    outcomes = [Replay(trace, site, create(site)).run() for site in trace.sites]
    return summarise(trace.workload, policy, outcomes)
