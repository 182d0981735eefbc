"""Stand-in for a worker that runs simulated tasks under a lease."""

import asyncio
import time
from collections import Counter
from contextlib import suppress

import msgspec

from dragonflynotch.links.asgi import (
    HttpCall,
    Receive,
    Reply,
    Scope,
    Send,
    read_call,
    send_reply,
)
from dragonflynotch.services.object_store import ObjectStore
from dragonflynotch.services.worker import (
    CheckpointTask,
    ForgetTask,
    LaunchTask,
    StartTask,
    StopTask,
    TaskCommand,
    ThrottleTask,
    WorkerCall,
    WorkerView,
)
from dragonflynotch.testing.worker_task import SimulatedTask

__all__ = ('WorkerApp', 'WorkerFaults')

_MAX_BODY_BYTES = 1024 * 1024
_NO_ANSWER_DELAY_S = 3600
_OK = 200
_CONFLICT = 409
_NOT_FOUND = 404


class WorkerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in injects.

    ``is_silent`` neither answers calls nor carries them out; tasks continue
    until their lease expires. ``loses_answers`` carries calls out but does not
    answer them. ``fails_everything`` fails every task at its start.
    """

    delay_s: float = 0
    fails_everything: bool = False
    is_silent: bool = False
    loses_answers: bool = False


class WorkerApp:
    """ASGI application of a worker.

    ``POST /v1/tasks`` takes a ``WorkerCall`` and answers with a
    ``WorkerView``. ``GET /counts`` returns the number of starts of each
    ``job/attempt``. ``POST /fault`` sets the faults.

    Parameters
    ----------
    store : ObjectStore
        Store for the checkpoints.
    usage_lag_s : float
        Delay with which resource usage is reported.
    """

    def __init__(self, store: ObjectStore, usage_lag_s: float = 0.2) -> None:
        """Create a worker without tasks or faults."""
        self.faults = WorkerFaults()
        self.computed: Counter[str] = Counter()
        self._store = store
        self._usage_lag_s = usage_lag_s
        self._lease_end_ms = 0
        self._highest_fence = 0
        self._incarnation = '1'
        self._tasks: dict[tuple[str, int], SimulatedTask] = {}
        self._blocked_launches: set[tuple[str, int]] = set()
        self._running: set[asyncio.Task[None]] = set()

    @property
    def view(self) -> WorkerView:
        """Current tasks, lease and clock of the worker."""
        return WorkerView(
            _clock_ms(),
            self._lease_end_ms,
            self._highest_fence,
            tuple(task.status for task in self._tasks.values()),
            self._incarnation,
        )

    def restart(self) -> None:
        """End all tasks as a crash of the worker and its next start do."""
        for running in self._running:
            running.cancel()
        self._tasks.clear()
        self._blocked_launches.clear()
        self._lease_end_ms = 0
        self._highest_fence = 0
        self._incarnation = str(int(self._incarnation) + 1)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        if scope['type'] != 'http':
            return
        with suppress(ConnectionResetError):
            call = await read_call(scope, receive, _MAX_BODY_BYTES)
            await send_reply(send, await self._answer(call))

    async def _answer(self, call: HttpCall) -> Reply:
        match call.path:
            case '/v1/tasks':
                return await self._handle_tasks(call)
            case '/counts':
                return Reply(_OK, msgspec.json.encode(dict(self.computed)))
            case '/fault':
                self.faults = msgspec.json.decode(call.body, type=WorkerFaults)
                return Reply(_OK, b'{}')
            case _:
                return Reply(_NOT_FOUND)

    async def apply(self, call: WorkerCall) -> WorkerView | None:
        """Carry out a call; return ``None`` if its fence is outdated."""
        if self.faults.is_silent:
            await asyncio.sleep(_NO_ANSWER_DELAY_S)
        await asyncio.sleep(self.faults.delay_s)
        if 0 < call.fence < self._highest_fence:
            return None
        self._highest_fence = max(self._highest_fence, call.fence)
        self._lease_end_ms = max(self._lease_end_ms, call.lease_end_ms)
        for command in call.commands:
            self._execute(command)
        if self.faults.loses_answers:
            await asyncio.sleep(_NO_ANSWER_DELAY_S)
        return self.view

    async def _handle_tasks(self, call: HttpCall) -> Reply:
        decoded = msgspec.json.decode(call.body, type=WorkerCall)
        view = await self.apply(decoded)
        if view is None:
            return Reply(_CONFLICT)
        return Reply(_OK, msgspec.json.encode(view))

    def _execute(self, command: TaskCommand) -> None:
        key = (command.job_id, command.attempt)
        if isinstance(command, LaunchTask):
            self._launch(key, command)
            return
        task = self._tasks.get(key)
        if isinstance(command, StopTask | ForgetTask):
            # A launch that arrives after its stop must not take effect.
            self._blocked_launches.add(key)
        if task is None:
            return
        match command:
            case StartTask():
                self._start(key, task)
            case CheckpointTask():
                task.request_checkpoint(command.label)
            case ThrottleTask():
                task.throttle()
            case StopTask():
                task.stop(command.checkpoint_limit_ms / 1000, command.label)
            case ForgetTask():
                task.stop(0)
                self._tasks.pop(key)

    def _launch(self, key: tuple[str, int], command: LaunchTask) -> None:
        if key in self._tasks or key in self._blocked_launches:
            return
        task = SimulatedTask(
            command,
            self._store,
            lambda: self._lease_end_ms / 1000,
            self._usage_lag_s,
        )
        self._tasks[key] = task
        running = asyncio.create_task(task.run())
        self._running.add(running)
        running.add_done_callback(self._running.discard)

    def _start(self, key: tuple[str, int], task: SimulatedTask) -> None:
        if not task.start():
            return
        self.computed['{}/{}'.format(*key)] += 1
        if self.faults.fails_everything:
            task.fail('injected fault: worker fails every task')


def _clock_ms() -> int:
    return int(time.monotonic() * 1000)
