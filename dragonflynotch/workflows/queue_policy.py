"""What a queue sets for its jobs, kept with each job.

A job is decided by the newest configuration that has its queue. One that lacks
the queue changes nothing for the jobs that were accepted before: an end or a
stop can not be taken back, and the next version may have the queue again.
"""

import msgspec

from dragonflynotch.records.bounds import Count, DurationMs, Factor

__all__ = ('QueuePolicy',)


class QueuePolicy(msgspec.Struct, array_like=True, frozen=True):
    """Values of a queue that the decisions about its jobs use.

    Parameters
    ----------
    service : str
        Service that runs the tasks.
    version : int
        Version of the configuration that the values are from; a later one may
        have the same values.
    max_attempts : int or None
        The job fails after this many failed runs of a task. ``None`` if it is
        not known: jobs of releases that did not store it, while their queue is
        not in the configuration.
    priority : int
        Lower is more urgent; 0 is the most urgent.
    stretch : float
        Objective for the time to completion, as a multiple of the estimated
        run time of the critical path.
    target_latency_ms : int
        Time added to the objective.
    """

    service: str
    version: Count = 0
    max_attempts: Count | None = None
    priority: Count = 1
    stretch: Factor = 1
    target_latency_ms: DurationMs = 0

    def replaces(self, other: 'QueuePolicy') -> bool:
        """Return whether this is not older than ``other`` and differs."""
        if self.version < other.version:
            return False
        return self != msgspec.structs.replace(other, version=self.version)
