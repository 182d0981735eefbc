"""Judges a day by what the minions run, whatever the leader believes.

The rule: while a step of a job is due and would fit twice, and under half of
the capacity is in use, something of the job runs, but for a short wait.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.idle_search.end_audit import EndAudit
from benchmarks.idle_search.fleet import Fleet, Machine
from benchmarks.idle_search.guards import AUTHORITY_MS, LEASE_MS
from benchmarks.idle_search.job_mix import Arrival
from benchmarks.idle_search.minions import RunBook
from benchmarks.idle_search.store import Store
from benchmarks.idle_search.waits import Wait, WaitClass
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind
from dragonflynotch.workflows.resources import Resources

__all__ = ('Oracle',)

_MAX_SHARE_IN_USE = 0.5
# How many times a step has to fit.
_TIMES = 2


@dataclass(frozen=True, slots=True)
class _Room:
    """Room of a machine by fact."""

    machine: Machine
    free: Resources
    may_start: bool


@dataclass(frozen=True, slots=True)
class _DueStep:
    job_id: str
    number: int
    spec: StepSpec

    @property
    def start_count(self) -> int:
        return self.spec.count if self.spec.is_gang else 1

    @property
    def tasks(self) -> list[str]:
        return [
            f'{self.job_id}.0.{self.number}.{index}'
            for index in range(self.spec.count)
        ]


class Oracle:
    """Watches all jobs of a day.

    Parameters
    ----------
    max_wait_ms : int
        Shorter waits are not kept.
    """

    def __init__(
        self, fleet: Fleet, store: Store, book: RunBook, max_wait_ms: int
    ) -> None:
        """Create an oracle of a day that begins."""
        self._fleet = fleet
        self._store = store
        self._book = book
        self._max_wait_ms = max_wait_ms
        self._open: dict[str, Arrival] = {}
        self._waits: dict[str, Wait] = {}
        self._idle_causes: dict[str, str] = {}
        self.waits: list[Wait] = []
        self.audit = EndAudit(fleet, store)

    def add(self, arrival: Arrival) -> None:
        """Watch an accepted job."""
        self._open[arrival.job_id] = arrival

    def note_idle_cause(self, job_id: str, cause: str) -> None:
        """Keep the cause that the leader has logged for a waiting job."""
        self._idle_causes[job_id] = cause

    def is_watching(self) -> bool:
        """Return whether any accepted job is still open.

        Jobs with steps that run until they are cancelled do not count.
        """
        return any(
            not step.is_long_running
            for arrival in self._open.values()
            for step in arrival.spec.steps
        )

    def judge(self, now_ms: int, elapsed_ms: int, *, has_leader: bool) -> None:
        """Judge a moment, which lasts since the one before."""
        self.audit.review(now_ms, elapsed_ms)
        self._close_ended()
        rooms, share = self._measure()
        is_idle = share < _MAX_SHARE_IN_USE
        done = self._done_tasks() if is_idle else set()
        for job_id, arrival in self._open.items():
            wait = None
            if is_idle and not self._has_run(job_id):
                wait = self._find_wait(arrival, done, rooms, now_ms)
            if wait is None:
                self._finish(job_id)
            elif has_leader:
                wait.share_in_use = share
                kept = self._waits.setdefault(job_id, wait)
                self._extend(kept, wait, now_ms, elapsed_ms)

    def finish(self) -> None:
        """End all waits at the end of the day."""
        for job_id in list(self._waits):
            self._finish(job_id)

    # ---- facts -------------------------------------------------------------

    def is_turn(self, task: str) -> bool:
        """Return whether all steps that come before a task are done."""
        job_id, _, step, _ = task.split('.')
        spec = self._store.jobs[job_id].steps[int(step)]
        done = self._done_tasks()
        return all(self._is_done(job_id, number, done) for number in spec.after)

    def _has_run(self, job_id: str) -> bool:
        """Return whether a run of a job is at work, but for repeats."""
        repeats = self.audit.repeats_by_job[job_id]
        return self._book.runs_by_job[job_id] > repeats

    def _close_ended(self) -> None:
        ended = [
            job_id
            for job_id in self._open
            if job_id in self._store.ended_jobs
            or job_id in self._store.cancelled
        ]
        for job_id in ended:
            del self._open[job_id]
            self._finish(job_id)

    def _measure(self) -> tuple[list[_Room], float]:
        rooms = []
        used = Resources()
        capacity = Resources()
        for machine in self._fleet.machines:
            if not machine.is_up:
                continue
            minion = machine.minion
            used += minion.held
            capacity += minion.capacity
            may_start = machine.guard.condition.may_start
            rooms.append(_Room(machine, minion.free, may_start))
        return rooms, used.dominant_share_of(capacity)

    def _done_tasks(self) -> set[str]:
        """Return the tasks of which a run has ended as done, or recorded."""
        done = self._store.done_tasks | self.audit.done_tasks
        for machine in self._fleet.machines:
            if machine.is_up:
                done.update(
                    end.task
                    for end in machine.minion.ends
                    if end.kind is EndKind.done
                )
        return done

    def _is_done(self, job_id: str, number: int, done: set[str]) -> bool:
        spec = self._store.jobs[job_id].steps[number]
        tasks = _DueStep(job_id, number, spec).tasks
        return (any if spec.is_gang else all)(task in done for task in tasks)

    def _due_steps(
        self, arrival: Arrival, done: set[str]
    ) -> Iterable[_DueStep]:
        for number, spec in enumerate(arrival.spec.steps):
            is_due = not self._is_done(arrival.job_id, number, done) and all(
                self._is_done(arrival.job_id, earlier, done)
                for earlier in spec.after
            )
            if is_due:
                yield _DueStep(arrival.job_id, number, spec)

    # ---- waits -------------------------------------------------------------

    def _find_wait(
        self,
        arrival: Arrival,
        done: set[str],
        rooms: list[_Room],
        now_ms: int,
    ) -> Wait | None:
        """Return what the rule says of a job of which nothing runs."""
        for step in self._due_steps(arrival, done):
            wanted = _TIMES * step.start_count
            fit_count = _count_fits(step.spec, rooms)
            if fit_count < wanted:
                continue
            wait = Wait(step.job_id, step.number, now_ms)
            wait.fit_count = fit_count
            wait.wanted = wanted
            startable = [room for room in rooms if room.may_start]
            wait_class = self._classify(step, done, now_ms)
            if (
                wait_class is WaitClass.placement
                and _count_fits(step.spec, startable) < wanted
            ):
                wait_class = WaitClass.no_start
            wait.times_ms[wait_class] = 0
            return wait
        return None

    def _classify(
        self, step: _DueStep, done: set[str], now_ms: int
    ) -> WaitClass:
        if self._is_held_up_by_lost_end(step):
            return WaitClass.lost_end
        if not self._is_turn_recorded(step):
            return WaitClass.unheard_guard
        minions = {
            task: minion_id for minion_id, task in self._store.order_keys()
        }
        undone = [task for task in step.tasks if task not in done]
        ordered = [minions[task] for task in undone if task in minions]
        # A gang restarts once all of its runs have ended.
        is_held = ordered and (step.spec.is_gang or len(ordered) == len(undone))
        if not is_held:
            return WaitClass.placement
        classes = {self._class_of_order(name, now_ms) for name in ordered}
        if step.spec.is_gang:
            classes.discard(WaitClass.placement)
        if len(classes) == 1:
            return classes.pop()
        if WaitClass.placement in classes or not classes:
            return WaitClass.placement
        return WaitClass.unheard_guard

    def _is_held_up_by_lost_end(self, step: _DueStep) -> bool:
        recorded = self._store.done_tasks
        unrecorded = self.audit.lost_tasks - recorded
        for earlier in step.spec.after:
            spec = self._store.jobs[step.job_id].steps[earlier]
            tasks = _DueStep(step.job_id, earlier, spec).tasks
            is_recorded = self._is_done(step.job_id, earlier, recorded)
            if not is_recorded and not unrecorded.isdisjoint(tasks):
                return True
        return False

    def _is_turn_recorded(self, step: _DueStep) -> bool:
        """Return whether the leader can know that the turn has come."""
        recorded = self._store.done_tasks
        for earlier in step.spec.after:
            if not self._is_done(step.job_id, earlier, recorded):
                spec = self._store.jobs[step.job_id].steps[earlier]
                return not self._has_unheard_end(
                    set(_DueStep(step.job_id, earlier, spec).tasks)
                )
        return True

    def _has_unheard_end(self, tasks: set[str]) -> bool:
        return any(
            not _is_heard(machine)
            and any(end.task in tasks for end in machine.minion.ends)
            for machine in self._fleet.machines
            if machine.is_up
        )

    def _class_of_order(self, minion_id: str, now_ms: int) -> WaitClass:
        lost_ms = self._fleet.lost_ms.get(minion_id)
        if lost_ms is not None and now_ms - lost_ms < AUTHORITY_MS:
            return WaitClass.lost_machine
        if lost_ms is not None:
            return WaitClass.placement
        machine = self._fleet.find(minion_id)
        if not _is_heard(machine):
            return WaitClass.unheard_guard
        crashed_ms = self._fleet.crashed_ms.get(minion_id)
        is_replaced = machine.minion.minion_id != minion_id
        if crashed_ms is None or is_replaced:
            return WaitClass.placement
        if now_ms - crashed_ms < LEASE_MS:
            return WaitClass.crashed_minion
        return WaitClass.placement

    def _extend(
        self, kept: Wait, latest: Wait, now_ms: int, elapsed_ms: int
    ) -> None:
        kept.times_ms[latest.main_class] += elapsed_ms
        kept.end_ms = now_ms
        kept.step = latest.step
        kept.share_in_use = max(kept.share_in_use, latest.share_in_use)
        kept.fit_count = min(kept.fit_count, latest.fit_count)
        kept.wanted = latest.wanted
        kept.idle_cause = self._idle_causes.get(kept.job_id, '')

    def _finish(self, job_id: str) -> None:
        wait = self._waits.pop(job_id, None)
        self._idle_causes.pop(job_id, None)
        if wait is not None and wait.times_ms.total() > self._max_wait_ms:
            self.waits.append(wait)


def _is_heard(machine: Machine) -> bool:
    return machine.guard.condition.is_heard


def _count_fits(step: StepSpec, rooms: Iterable[_Room]) -> int:
    """Return how many tasks fit by the hard requirements alone."""
    most = step.max_per_worker or step.count * _TIMES + 1
    return sum(
        min(most, room.free.fit_count(step.needs))
        for room in rooms
        if step.constraint in {'', *room.machine.spec.labels}
    )
