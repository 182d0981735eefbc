"""Cluster of schedulers, guards and minions in one process."""

import asyncio
from datetime import timedelta

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.configuration import ConfigurationWatch
from dragonflynotch.control.guard import Guard, GuardLimits
from dragonflynotch.control.leader import Leader
from dragonflynotch.control.leader_term import LeaderContext
from dragonflynotch.control.leadership import Leadership
from dragonflynotch.control.minions import Heartbeat
from dragonflynotch.control.operator_requests import EvacuationWatch
from dragonflynotch.control.rows import RowName, RowWrite
from dragonflynotch.control.submissions import SubmissionService
from dragonflynotch.platform.evacuations import (
    OPERATOR_TABLE,
    decode_evacuation,
)
from dragonflynotch.testing.machines import MemoryMachineDirectory
from dragonflynotch.testing.minion_model import (
    MinionModel,
    ModelMinionClient,
    RunLog,
)
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.deployment import Deployment, Queue, Workspace
from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.scheduler import SchedulerSettings

LIMITS = GuardLimits(minion_lease_ms=800, authority_ms=2000)
DEPLOYMENT = Deployment(
    1,
    queues={'q': Queue('q', 'h', '/q/', 'planner', 1, max_attempts=2)},
    workspaces={'team': Workspace('team')},
)
CALL_TIMEOUT = timedelta(seconds=2)
# Time from the crash of a minion to the start of its next incarnation, about.
RESTART_DELAY_S = 0.15


class LoopClock(SteadyClock):
    """Clock of the event loop."""

    def now_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)


class Cluster:
    """Two scheduler candidates and three guards with a minion each.

    Parameters
    ----------
    duration_ms : int
        How long each task runs, in milliseconds.
    settings : SchedulerSettings, optional
        Limits of the schedulers.
    limits : GuardLimits, optional
        Lease durations of the guards.
    """

    def __init__(self, duration_ms=300, settings=None, limits=LIMITS):
        self.clock = LoopClock()
        self.store = MemoryRowStore(self.clock)
        self.log = RunLog()
        # Durations of the decisions of each round, in seconds.
        self.round_durations = []
        self.submissions = SubmissionService(
            self.store, self.store.store_clock, self.store.health, self.clock
        )
        self.models = {}
        self.machines = MemoryMachineDirectory()
        self._limits = limits
        self.leaders = {}
        # Data centres by node, as in the heartbeats of the minions.
        self.data_centres = {}
        self.guards = {}
        self._duration_ms = duration_ms
        self._settings = settings or SchedulerSettings()
        self._tasks = {}

    def start(self):
        for name in ('a', 'b'):
            self.start_candidate(name)
        for number in range(3):
            self.add_minion(f'n{number}', f'm{number}')

    def start_candidate(self, name, store=None):
        """Start a candidate, which may see the store in its own way."""
        store = store or self.store
        operator_rows = ConfigurationWatch(
            store, OPERATOR_TABLE, 'config', lambda _: None, self.clock
        )
        evacuations = EvacuationWatch(
            operator_rows, self.store.store_clock, decode_evacuation
        )
        leader = Leader(
            LeaderContext(
                store,
                self.store.store_clock,
                self.clock,
                Leadership(name, store, self.clock),
                lambda: DEPLOYMENT,
                self.round_durations.append,
                evacuations.requests,
                machines=self.machines,
            ),
            self._settings,
        )
        self.leaders[name] = leader
        self._spawn(name, _run_all(operator_rows.run(), leader.run()))

    def add_minion(self, node, minion_id):
        self.models[minion_id] = self._create_model(minion_id)
        self.machines.start(node, 'planner', minion_id)
        self.start_guard(node)
        self.send_heartbeat(node, minion_id)

    async def power_off(self, node, minion_id):
        """End a machine: its guard and its minion."""
        self.models[minion_id].crash()
        self.machines.power_off(node)
        await self.kill(node)

    def start_guard(self, node):
        guard = Guard(
            node,
            self.store,
            self.store.store_clock,
            self.clock,
            lambda heartbeat: ModelMinionClient(
                self.models[heartbeat.minion_id]
            ),
            self._limits,
        )
        self.guards[node] = guard
        self._spawn(node, guard.run())

    def send_heartbeat(
        self, node, minion_id, *, is_draining=False, remaining_ms=None
    ):
        self.guards[node].on_heartbeat(
            Heartbeat(
                minion_id,
                'planner',
                ('127.0.0.1', 1),
                2 if is_draining else 1,
                is_draining,
                labels=('a', 'r1'),
                rack='r1',
                capacity=(4000, 4000, 4),
                data_centre=self.data_centres.get(node, 'east'),
                remaining_ms=remaining_ms,
            )
        )

    async def restart_crashed_minions(self):
        """Start a new incarnation soon after each crash, until cancelled."""
        running = {f'n{number}': f'm{number}' for number in range(3)}
        crashes = 0
        while True:
            for node, minion_id in running.items():
                if self.models[minion_id].is_crashed:
                    crashes += 1
                    running[node] = f'{node}-{crashes}'
                    self.models[running[node]] = self._create_model(
                        running[node]
                    )
            await asyncio.sleep(RESTART_DELAY_S)
            for node, minion_id in running.items():
                if node in self._tasks:
                    self.send_heartbeat(node, minion_id)

    def current_leader(self):
        return next(
            name
            for name, leader in self.leaders.items()
            if leader.is_scheduling
        )

    async def kill(self, name):
        """End a candidate or a guard without a clean shutdown."""
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop(self):
        for name in list(self._tasks):
            await self.kill(name)

    async def request_evacuation(self, data_centre, content=b'{}'):
        """Write the operator's row of an evacuation; ``None`` deletes it."""
        name = RowName(OPERATOR_TABLE.name, '', f'evacuate/{data_centre}')
        await self.store.commit([RowWrite(name, content)], [])

    async def submit(self, job_id, *steps):
        spec = JobSpec('q', 'team', 'planner', 'text', steps)
        return await self.submissions.submit(job_id, spec, CALL_TIMEOUT)

    async def wait_for_state(self, job_id, state, limit_s=15):
        async with asyncio.timeout(limit_s):
            while await self.submissions.state(job_id, CALL_TIMEOUT) != state:
                await asyncio.sleep(0.02)

    async def wait_for_starts(self, count, limit_s=15):
        async with asyncio.timeout(limit_s):
            while len(self.log.starts) < count:
                await asyncio.sleep(0.01)

    def _create_model(self, minion_id):
        return MinionModel(
            minion_id, self.clock, self.log, lambda _: self._duration_ms
        )

    def _spawn(self, name, coroutine):
        self._tasks[name] = asyncio.create_task(coroutine)


async def _run_all(*coroutines):
    async with asyncio.TaskGroup() as group:
        for coroutine in coroutines:
            group.create_task(coroutine)


def tasks(count, accelerators=1, **fields):
    """Return a step of short tasks with small resource needs."""
    return StepSpec(count, 100, 100, accelerators, 300, **fields)
