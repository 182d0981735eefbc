"""Jobs of the soak test, as their caller sees them."""

from dataclasses import dataclass, field
from random import Random

from dragonflynotch.testing.site_caller import Answer
from dragonflynotch.workflows.jobs import StepSpec

__all__ = ('ACCELERATORS_PER_MINION', 'QUEUES', 'SoakJob', 'create_random_job')

BATCH = 'batch'
URGENT = 'urgent'
QUEUES = (BATCH, URGENT)
ACCELERATORS_PER_MINION = 8
# Part of the accelerators of all minions that is guaranteed to urgent jobs.
GUARANTEED_ACCELERATORS = 8
_MILLICORES = 1000
_GANG_SHARE = 0.3
_SECOND_STEP_SHARE = 0.15
_CHECKPOINT_SHARE = 0.3


@dataclass(slots=True)
class SoakJob:
    """A job and the answers that its caller received.

    Parameters
    ----------
    duration_ms : int
        Duration of each task.
    accepted_s, cancelled_s : float or None
        Time at which the acceptance, or the cancellation, was acknowledged.
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
    # Whether one of its runs failed and the job was reported as failed.
    has_failed: bool = False
    # Whether its first task crashes each minion that starts it.
    crashes_minions: bool = False

    @property
    def is_refused(self) -> bool:
        """Whether every attempt to submit the job was refused."""
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
        """Return the step that a task belongs to."""
        return self.steps[int(task.split('.')[2])]


def create_random_job(random: Random, queue: str = BATCH) -> SoakJob:
    """Return a job with random steps and a random duration."""
    duration_ms = random.choice((200, 500, 1000, 2500))
    is_gang = queue == URGENT or random.random() < _GANG_SHARE
    step = StepSpec(
        count=random.randint(2, 4) if is_gang else random.randint(1, 4),
        millicores=_MILLICORES // 2,
        memory_mb=100,
        accelerators=random.choice((1, 2)),
        estimated_ms=duration_ms * random.choice((1, 1, 3)),
        is_gang=is_gang,
        has_checkpoints=random.random() < _CHECKPOINT_SHARE,
    )
    steps = [step]
    if queue == BATCH and random.random() < _SECOND_STEP_SHARE:
        steps.append(
            StepSpec(
                count=1, millicores=_MILLICORES, accelerators=1, after=(0,)
            )
        )
    job_id = f'{random.getrandbits(64):016x}'
    return SoakJob(job_id, queue, f'payload {job_id}', steps, duration_ms)
