"""Jobs of a play, with the tasks of them that are done."""

from dataclasses import dataclass, field

import msgspec

from benchmarks.site_days.room import Room

__all__ = ('PlayedJob', 'PlayedStep')


class PlayedStep(msgspec.Struct):
    """A step as it was accepted."""

    count: int = 1
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    is_gang: bool = False
    after: tuple[int, ...] = ()
    constraint: str = ''
    max_per_worker: int = 0
    ignores_cpu: bool = msgspec.field(name='fills', default=False)

    @property
    def needs(self) -> Room:
        """Resources of one task."""
        return Room(
            0 if self.ignores_cpu else self.millicores,
            self.memory_mb,
            self.accelerators,
        )

    @property
    def start_count(self) -> int:
        """How many tasks have to start together."""
        return self.count if self.is_gang else 1


@dataclass(slots=True)
class PlayedJob:
    """A job, with the tasks of it that are done."""

    job_id: str
    accepted_s: float
    steps: list[PlayedStep]
    done: set[str] = field(default_factory=set)

    def due_step(self) -> int | None:
        """Return the first step whose turn has come and that is not done."""
        for number, step in enumerate(self.steps):
            if not self._is_done(number) and all(
                map(self._is_done, step.after)
            ):
                return number
        return None

    def tasks_of(self, number: int) -> list[str]:
        """Return the tasks of a step; the jobs have no repetitions."""
        count = self.steps[number].count
        return [f'{self.job_id}.0.{number}.{task}' for task in range(count)]

    def _is_done(self, number: int) -> bool:
        return self.done.issuperset(self.tasks_of(number))
