"""Queues and workspaces of the configuration in force."""

from dataclasses import dataclass, field

__all__ = ('Deployment', 'Queue', 'Service', 'Workspace')


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs.

    Parameters
    ----------
    host, prefix : str
        Requests of this host whose path begins with the prefix belong to it.
    priority : int
        0 comes first.
    max_attempts : int
        Runs of a task that may fail before the job has failed.
    stretch : float
        Objective for the completion, as a multiple of the work on the
        critical path.
    target_latency_ms : int
        Added to the objective.
    is_public : bool
        Whether calls need no key.
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


@dataclass(frozen=True, slots=True)
class Service:
    """Minions that run the tasks of some queues.

    Parameters
    ----------
    checks_admission : bool
        Whether its minions refuse what does not fit.
    """

    name: str
    checks_admission: bool = True


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its keys and its guarantee."""

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the configuration."""

    version: int
    queues: dict[str, Queue] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    workspace_by_key: dict[str, str] = field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path."""
        matches = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)
