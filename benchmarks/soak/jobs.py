"""Jobs of the soak, as their caller knows them."""

from dataclasses import dataclass, field
from random import Random

from dragonflynotch.testing.site_caller import Answer
from dragonflynotch.workflows.jobs import StepSpec

__all__ = ('ACCELERATORS', 'QUEUES', 'SoakJob', 'draw_job')

BATCH = 'batch'
URGENT = 'urgent'
QUEUES = (BATCH, URGENT)
# Of each minion.
ACCELERATORS = 8
# Urgent jobs stay within this part of the accelerators of all minions.
GUARANTEED = 8
_CORES = 1000
_GANG_SHARE = 0.3
_CHAIN_SHARE = 0.15
_CHECKPOINT_SHARE = 0.3


@dataclass(slots=True)
class SoakJob:
    """A job and what its caller was told.

    Parameters
    ----------
    duration_ms : int
        How long each of its tasks runs.
    accepted_s, cancelled_s : float or None
        When the acceptance, or the cancellation, was acknowledged.
    """

    job_id: str
    queue: str
    payload: str
    steps: list[StepSpec]
    duration_ms: int
    answers: list[Answer] = field(default_factory=list)
    accepted_s: float | None = None
    cancel_sent_s: float | None = None
    cancelled_s: float | None = None
    completed_s: float | None = None
    has_ended: bool = False
    # A run of it failed, so its end as failed is true.
    has_failed: bool = False

    @property
    def is_refused(self) -> bool:
        """Whether every attempt to hand it in was refused."""
        return bool(self.answers) and all(
            answer.is_refused for answer in self.answers
        )

    @property
    def tasks(self) -> list[str]:
        """Names of all tasks."""
        return [
            f'{self.job_id}.0.{number}.{index}'
            for number, step in enumerate(self.steps)
            for index in range(step.count)
        ]

    def step_of(self, task: str) -> StepSpec:
        """Return the step of one of its tasks."""
        return self.steps[int(task.split('.')[2])]


def draw_job(random: Random, queue: str = BATCH) -> SoakJob:
    """Return a new job."""
    duration_ms = random.choice((200, 500, 1000, 2500))
    is_gang = queue == URGENT or random.random() < _GANG_SHARE
    step = StepSpec(
        count=random.randint(2, 4) if is_gang else random.randint(1, 4),
        millicores=_CORES // 2,
        memory_mb=100,
        accelerators=random.choice((1, 2)),
        estimated_ms=duration_ms * random.choice((1, 1, 3)),
        is_gang=is_gang,
        has_checkpoints=random.random() < _CHECKPOINT_SHARE,
    )
    steps = [step]
    if queue == BATCH and random.random() < _CHAIN_SHARE:
        steps.append(
            StepSpec(count=1, millicores=_CORES, accelerators=1, after=(0,))
        )
    job_id = f'{random.getrandbits(64):016x}'
    return SoakJob(job_id, queue, f'payload {job_id}', steps, duration_ms)
