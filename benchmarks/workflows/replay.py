"""Replay of a load against the scheduler on simulated workers."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from benchmarks.workflows.loads import (
    DEPLOYMENT,
    Arrival,
    Departures,
    LoadPattern,
    SlowWorkers,
    rack_names,
)
from dragonflynotch.workflows.jobs import StepSpec, parse_task_id
from dragonflynotch.workflows.mechanisms import Mechanisms
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    Order,
    Report,
    RunEnd,
    RunningTask,
)
from dragonflynotch.workflows.runs.order_registry import OrderKey
from dragonflynotch.workflows.scheduler import Scheduler, SchedulerSettings

__all__ = ('JobOutcome', 'ReplayResult', 'replay')

_MS_PER_S = 1000
_ACCELERATORS = 8
# Cores that count as much as one accelerator, as in the scheduler.
_CORES_PER_ACCELERATOR = 8
_END_MS = 80_000
_ROUND_INTERVAL_MS = 250
_BATCH_WINDOW_MS = 8
_REPORT_INTERVAL_MS = 1500
# From a decision to its effect at the worker, through the store.
_ORDER_DELAY_MS = 40
_REPORT_DELAY_MS = 30
# Spreads the reports of the workers over time.
_REPORT_OFFSET_MS = 7
_STOP_MS = 300
_CHECKPOINT_INTERVAL_MS = 1000
_RESTORE_MS = 300
_OFF_RACK_SLOWDOWN = 3
_PERCENT = 100
_USEFUL_OBJECTIVE_MULTIPLE = 3
_ALL_MECHANISMS = Mechanisms()


@dataclass(slots=True)
class _Run:
    task: str
    order: Order
    step: StepSpec
    work_ms: int
    started_ms: int
    saved_ms: int
    work_started_ms: int | None = None
    # Work that was done before ``work_started_ms``.
    done_before_ms: int = 0
    slowdown: float = 1

    def done_ms(self, now_ms: int) -> int:
        """Return the work done so far, including restored work."""
        if self.work_started_ms is None:
            return self.saved_ms
        elapsed = (now_ms - self.work_started_ms) / self.slowdown
        return min(self.work_ms, self.done_before_ms + int(max(0, elapsed)))

    def change_slowdown(self, factor: float, now_ms: int) -> None:
        """Work ``factor`` times slower from now on."""
        self.done_before_ms = self.done_ms(now_ms)
        self.work_started_ms = max(now_ms, self.work_started_ms or 0)
        self.slowdown *= factor

    @property
    def end_ms(self) -> int:
        """Time at which all work is done."""
        remaining_ms = (self.work_ms - self.done_before_ms) * self.slowdown
        return int((self.work_started_ms or 0) + remaining_ms)

    def last_checkpoint_ms(self, now_ms: int) -> int:
        """Return the work that is saved while the run continues."""
        done_ms = self.done_ms(now_ms)
        return max(self.saved_ms, done_ms - done_ms % _CHECKPOINT_INTERVAL_MS)


@dataclass(slots=True)
class _Worker:
    node: str
    minion_id: str
    rack: str
    runs: dict[str, _Run] = field(default_factory=dict)
    ended: list[RunEnd] = field(default_factory=list)
    end_count: int = 0
    leaves_at_ms: int | None = None
    has_left: bool = False
    slowdown: float = 1


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """Outcome of one job; ``value`` is what was earned of ``owed``."""

    queue: str
    owed: float
    value: float
    is_on_time: bool
    is_completed: bool


@dataclass(slots=True)
class ReplayResult:
    """Outcomes of a replay, and the work that was thrown away.

    Parameters
    ----------
    lost_core_s : float
        Work of stopped runs that was not saved, an accelerator counting as
        eight cores.
    stops : int
        Runs stopped for other work.
    """

    outcomes: list[JobOutcome] = field(default_factory=list)
    lost_core_s: float = 0
    done_core_s: float = 0
    stops: int = 0


@dataclass(frozen=True, slots=True, order=True)
class _Event:
    at_ms: int
    sequence: int
    action: Callable[[], None] = field(compare=False)


class _Replay:
    def __init__(
        self,
        load: LoadPattern,
        arrivals: list[Arrival],
        mechanisms: Mechanisms,
    ) -> None:
        self._arrivals = {arrival.job_id: arrival for arrival in arrivals}
        self._cores = load.worker_cores
        self._now_ms = 0
        self._events: list[_Event] = []
        self._sequence = count()
        self._round_at_ms = 0
        self._completed_ms: dict[str, int] = {}
        self._checkpoints: dict[str, int] = {}
        self.result = ReplayResult()
        self._scheduler = Scheduler(
            SchedulerSettings(stop_ms=_STOP_MS), mechanisms
        )
        self._scheduler.apply_deployment(DEPLOYMENT)
        self._workers = {
            f'm{number}': _Worker(f'n{number}', f'm{number}', rack)
            for number, rack in enumerate(rack_names(load))
        }
        for arrival in arrivals:
            self._at(arrival.at_ms, partial(self._submit, arrival))
        for number, worker in enumerate(self._workers.values()):
            self._at(
                number * _REPORT_OFFSET_MS,
                partial(self._report_regularly, worker),
            )

        if load.departures is not None:
            self._schedule_departures(load.departures)
        if load.slow_workers is not None:
            self._schedule_slow_workers(load.slow_workers)

    def run(self) -> ReplayResult:
        self._at(0, self._run_round)
        while self._events:
            event = heapq.heappop(self._events)
            self._now_ms = event.at_ms
            if self._now_ms > _END_MS:
                break
            event.action()
        for arrival in self._arrivals.values():
            self.result.outcomes.append(self._outcome(arrival))
        return self.result

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, _Event(at_ms, next(self._sequence), action)
        )

    def _submit(self, arrival: Arrival) -> None:
        self._scheduler.put_job(arrival.job_id, arrival.spec)
        self._request_round()

    def _request_round(self) -> None:
        at_ms = self._now_ms + _BATCH_WINDOW_MS
        if at_ms < self._round_at_ms:
            self._round_at_ms = at_ms
            self._at(at_ms, self._run_round)

    def _run_round(self) -> None:
        if self._now_ms < self._round_at_ms:
            return
        decisions = self._scheduler.decide(self._now_ms, self._now_ms)
        for key, order in decisions.orders.items():
            if order is not None:
                self._at(
                    self._now_ms + _ORDER_DELAY_MS,
                    partial(self._apply, key, order),
                )
        for job_id, row in decisions.progress.items():
            if row.state is JobState.completed:
                self._completed_ms.setdefault(job_id, self._now_ms)
        self._round_at_ms = self._now_ms + _ROUND_INTERVAL_MS
        self._at(self._round_at_ms, self._run_round)

    # ---- departures --------------------------------------------------------

    def _schedule_departures(self, departures: Departures) -> None:
        random = Random(len(self._arrivals))
        leaving = random.sample(
            list(self._workers.values()),
            int(len(self._workers) * departures.share),
        )
        for number, worker in enumerate(leaving):
            stay_ms = departures.notice_ms + random.randint(
                0, departures.extended_stay_ms
            )
            notice_at_ms = departures.start_ms + number * departures.interval_ms
            self._at(
                notice_at_ms,
                partial(self._give_notice, worker, departures.notice_ms),
            )
            self._at(notice_at_ms + stay_ms, partial(self._leave, worker))
            self._at(
                notice_at_ms + stay_ms + departures.absence_ms,
                partial(self._replace, worker),
            )

    def _give_notice(self, worker: _Worker, notice_ms: int) -> None:
        worker.leaves_at_ms = self._now_ms + notice_ms
        self._at(self._now_ms + _REPORT_DELAY_MS, partial(self._report, worker))

    def _leave(self, worker: _Worker) -> None:
        """End all runs of a worker, and break the gangs of these runs."""
        broken = [
            member
            for run in worker.runs.values()
            if run.step.is_gang
            for member in self._members(run.task)
        ]
        worker.has_left = True
        self._at(self._now_ms + _REPORT_DELAY_MS, partial(self._report, worker))
        for run in list(worker.runs.values()):
            self._end(worker, run.task, run.order.run, EndKind.lapsed)
        for member, run in broken:
            if not member.has_left:
                self._end(member, run.task, run.order.run, EndKind.broken)

    def _replace(self, worker: _Worker) -> None:
        replacement = _Worker(
            worker.node, f'{worker.minion_id}-new', worker.rack
        )
        self._workers[replacement.minion_id] = replacement
        self._report_regularly(replacement)

    # ---- slow workers ------------------------------------------------------

    def _schedule_slow_workers(self, slow: SlowWorkers) -> None:
        workers = Random(len(self._arrivals)).sample(
            list(self._workers.values()),
            int(len(self._workers) * slow.share),
        )
        for worker in workers:
            self._at(
                slow.start_ms, partial(self._slow_down, worker, slow.factor)
            )
            self._at(
                slow.start_ms + slow.duration_ms,
                partial(self._slow_down, worker, 1 / slow.factor),
            )

    def _slow_down(self, worker: _Worker, factor: float) -> None:
        worker.slowdown *= factor
        for run in worker.runs.values():
            if run.work_started_ms is not None:
                run.change_slowdown(factor, self._now_ms)
                self._schedule_end(worker, run)

    # ---- workers -----------------------------------------------------------

    def _apply(self, key: OrderKey, order: Order) -> None:
        minion_id, task = key
        worker = self._workers[minion_id]
        if worker.has_left:
            return
        run = worker.runs.get(task)
        if order.is_stopped:
            self.result.stops += 1
            self._at(
                self._now_ms + _STOP_MS,
                partial(self._end, worker, task, order.run, EndKind.stopped),
            )
        elif run is None:
            self._start(worker, task, order)

    def _start(self, worker: _Worker, task: str, order: Order) -> None:
        arrival, step = self._find(task)
        saved_ms = int(order.checkpoint or 0)
        worker.runs[task] = _Run(
            task, order, step, arrival.run_ms, self._now_ms, saved_ms
        )
        if step.is_gang:
            self._begin_gang(task, step)
        else:
            is_off_rack = bool(step.data_rack) and step.data_rack != worker.rack
            self._begin(worker, worker.runs[task], is_off_rack=is_off_rack)

    def _begin_gang(self, task: str, step: StepSpec) -> None:
        """Start the work of a gang once all of its members are present."""
        members = self._members(task)
        if len(members) < step.count:
            return
        racks = {worker.rack for worker, _ in members}
        is_off_rack = step.wants_one_rack and len(racks) > 1
        for worker, run in members:
            self._begin(worker, run, is_off_rack=is_off_rack)

    def _begin(self, worker: _Worker, run: _Run, *, is_off_rack: bool) -> None:
        run.slowdown = _OFF_RACK_SLOWDOWN if is_off_rack else 1
        run.slowdown *= worker.slowdown
        restore_ms = _RESTORE_MS if run.saved_ms else 0
        run.work_started_ms = self._now_ms + restore_ms
        run.done_before_ms = run.saved_ms
        self._schedule_end(worker, run)

    def _schedule_end(self, worker: _Worker, run: _Run) -> None:
        self._at(run.end_ms, partial(self._end_if_done, worker, run))

    def _end_if_done(self, worker: _Worker, run: _Run) -> None:
        # The pace of the run may have changed since this was scheduled.
        if run.end_ms <= self._now_ms:
            self._end(worker, run.task, run.order.run, EndKind.done)

    def _members(self, task: str) -> list[tuple[_Worker, _Run]]:
        prefix = task.rpartition('.')[0]
        run_number = None
        found = []
        for worker in self._workers.values():
            for name, run in worker.runs.items():
                if name.rpartition('.')[0] == prefix:
                    found.append((worker, run))
                    run_number = max(run_number or 0, run.order.run)
        return [pair for pair in found if pair[1].order.run == run_number]

    def _end(
        self, worker: _Worker, task: str, number: int, kind: EndKind
    ) -> None:
        run = worker.runs.get(task)
        if run is None or run.order.run != number:
            return
        del worker.runs[task]
        worker.end_count += 1
        saved_ms = run.saved_ms
        if run.step.has_checkpoints:
            saved_ms = (
                run.last_checkpoint_ms(self._now_ms)
                if kind in {EndKind.lapsed, EndKind.broken}
                else run.done_ms(self._now_ms)
            )
        self._account(run, kind, saved_ms)
        worker.ended.append(
            RunEnd(
                worker.end_count,
                task,
                number,
                kind,
                str(saved_ms) if run.step.has_checkpoints else '',
            )
        )
        self._at(self._now_ms + _REPORT_DELAY_MS, partial(self._report, worker))

    def _account(self, run: _Run, kind: EndKind, saved_ms: int) -> None:
        cores = run.step.millicores / _MS_PER_S
        cores += run.step.accelerators * _CORES_PER_ACCELERATOR
        held_s = (self._now_ms - run.started_ms) / _MS_PER_S
        if kind is EndKind.done:
            self.result.done_core_s += cores * held_s
            return
        kept_s = (saved_ms - run.saved_ms) / _MS_PER_S
        self.result.lost_core_s += cores * max(0, held_s - kept_s)

    def _report_regularly(self, worker: _Worker) -> None:
        if worker.has_left:
            return
        self._report(worker)
        self._at(
            self._now_ms + _REPORT_INTERVAL_MS,
            partial(self._report_regularly, worker),
        )

    def _report(self, worker: _Worker) -> None:
        running = [
            RunningTask(
                run.task,
                run.order.run,
                '',
                _PERCENT * run.done_ms(self._now_ms) // max(1, run.work_ms),
            )
            for run in worker.runs.values()
        ]
        self._scheduler.apply_report(
            worker.node,
            Report(
                minion_id=worker.minion_id,
                service='planner',
                is_ready=worker.leaves_at_ms is None,
                is_live=not worker.has_left,
                authority_end_ms=self._now_ms + 15_000,
                token=1,
                labels=('a', worker.rack),
                rack=worker.rack,
                capacity=(
                    int(self._cores * _MS_PER_S),
                    1_000_000,
                    _ACCELERATORS,
                ),
                running=running,
                ended=worker.ended,
                leaves_at_ms=worker.leaves_at_ms,
            ),
            1,
            self._now_ms,
        )
        worker.ended = []
        self._request_round()

    # ---- outcomes ----------------------------------------------------------

    def _find(self, task: str) -> tuple[Arrival, StepSpec]:
        task_id = parse_task_id(task)
        assert task_id is not None
        arrival = self._arrivals[task_id.job_id]
        return arrival, arrival.spec.steps[task_id.step]

    def _outcome(self, arrival: Arrival) -> JobOutcome:
        queue = DEPLOYMENT.queues[arrival.spec.queue]
        completed_ms = self._completed_ms.get(arrival.job_id)
        objective_ms = queue.stretch * arrival.path_ms + queue.target_latency_ms
        took_ms = (completed_ms or _END_MS * 2) - arrival.at_ms
        is_on_time = took_ms <= objective_ms
        is_useful = took_ms <= _USEFUL_OBJECTIVE_MULTIPLE * objective_ms
        value = arrival.late_value if is_useful else 0
        return JobOutcome(
            queue.name,
            arrival.value,
            arrival.value if is_on_time else value,
            is_on_time,
            completed_ms is not None,
        )


def replay(
    load: LoadPattern,
    arrivals: list[Arrival],
    mechanisms: Mechanisms = _ALL_MECHANISMS,
) -> ReplayResult:
    """Replay the arrivals and return what became of the jobs."""
    return _Replay(load, arrivals, mechanisms).run()
