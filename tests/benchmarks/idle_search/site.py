"""Days with given jobs and faults, and a fleet without a leader."""

from benchmarks.idle_search.days import START_MS, Day
from benchmarks.idle_search.fleet import Fleet
from benchmarks.idle_search.job_mix import SERVICE, Arrival
from benchmarks.idle_search.machine_specs import MachineSpec
from benchmarks.idle_search.minions import RunBook
from benchmarks.idle_search.oracle import Oracle
from benchmarks.idle_search.play import STEP_MS
from benchmarks.idle_search.store import Store
from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.records import JobState, Order, ProgressRow
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.scheduler import Decisions

TASK = StepSpec(1, 2800, 7392, 1, 5000)


def make_arrival(job_id, at_ms, *steps, queue='batch', **fields):
    spec = JobSpec(queue, 'team', SERVICE, 'text', steps, at_ms)
    work_ms = tuple(step.estimated_ms for step in steps)
    return Arrival(job_id, at_ms, spec, work_ms, **fields)


def make_day(*arrivals, machines=2, faults=(), absences=()):
    spec = MachineSpec('r0', Resources(32_000, 65_536, 8))
    return Day(1, (spec,) * machines, arrivals, faults, absences)


class JudgedFleet:
    """A fleet whose orders tests give, and the oracle of the day."""

    def __init__(self, day):
        self.now_ms = START_MS
        self.violations = []
        arrivals = {arrival.job_id: arrival for arrival in day.arrivals}
        self.store = Store(self._send_order)
        self.book = RunBook(
            day.seed, arrivals, self._on_violation, self._is_turn
        )
        self.fleet = Fleet(day, self.store, self.book)
        self.oracle = Oracle(self.fleet, self.store, self.book, 0)
        for arrival in day.arrivals:
            self.store.jobs[arrival.job_id] = arrival.spec
            self.oracle.add(arrival)

    def order(self, task, machine=0, run=1, start_timeout_ms=1500):
        minion = self.fleet.machines[machine].minion
        needs = (TASK.millicores, TASK.memory_mb, TASK.accelerators)
        start_by_ms = self.now_ms + start_timeout_ms
        order = Order('text', run, start_by_ms, needs=needs)
        self.store.commit(Decisions(orders={(minion.minion_id, task): order}))

    def end_job(self, job_id):
        row = ProgressRow(JobState.completed)
        self.store.commit(Decisions(progress={job_id: row}))

    def report(self, machine=0):
        return self.store.reports[f'n{machine}'].report

    def advance(self, duration_ms, *, has_leader=True):
        for _ in range(duration_ms // STEP_MS):
            self.fleet.advance(self.now_ms)
            self.oracle.judge(self.now_ms, STEP_MS, has_leader=has_leader)
            self.now_ms += STEP_MS

    def waits(self):
        """End all waits and return what each job waited for, by job."""
        self.oracle.finish()
        return {
            wait.job_id: {
                name.value: duration_ms
                for name, duration_ms in wait.times_ms.items()
                if duration_ms
            }
            for wait in self.oracle.waits
        }

    def _send_order(self, key, order):
        self.fleet.send_order(self.now_ms, key, order)

    def _on_violation(self, rule, task):
        self.violations.append((rule, task))

    def _is_turn(self, task):
        return self.oracle.is_turn(task)
