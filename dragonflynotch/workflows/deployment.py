"""Queues and workspaces of the configuration in force."""

from dataclasses import dataclass, field

from dragonflynotch.workflows.queue_policy import QueuePolicy

__all__ = ('Deployment', 'Queue', 'Service', 'Workspace')


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs.

    Parameters
    ----------
    host, prefix : str
        The queue gets the requests to this host whose path begins with the
        prefix.
    priority : int
        Lower is more urgent; 0 is the most urgent.
    max_attempts : int
        The job fails after this many failed runs of a task.
    stretch : float
        Objective for the time to completion, as a multiple of the estimated
        run time of the critical path.
    target_latency_ms : int
        Time added to the objective.
    is_public : bool
        Whether calls are accepted without a key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    stretch: float = 1
    target_latency_ms: int = 0
    is_public: bool = False

    def policy(self, version: int) -> QueuePolicy:
        """Return what the queue sets for its jobs.

        Parameters
        ----------
        version : int
            Version of the configuration with the queue.
        """
        return QueuePolicy(
            self.service,
            version,
            max(1, self.max_attempts),
            self.priority,
            self.stretch,
            self.target_latency_ms,
        )


@dataclass(frozen=True, slots=True)
class Service:
    """A group of minions that runs the tasks of one or more queues.

    Parameters
    ----------
    checks_admission : bool
        Whether its minions reject tasks that exceed their free resources.
    """

    name: str
    checks_admission: bool = True


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its keys and its guaranteed accelerators."""

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the configuration of queues, services and workspaces."""

    version: int
    queues: dict[str, Queue] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    workspace_by_key: dict[str, str] = field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that matches the path."""
        matches = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)
