"""A complete deployment, stand-ins included, within one process."""

import asyncio
from types import TracebackType
from typing import Any, Self

from dragonflynotch.entry.daemon import Entry
from dragonflynotch.entry.server import HttpServer
from dragonflynotch.guard.daemon import Guard
from dragonflynotch.records.settings import Address, GuardSettings
from dragonflynotch.testing.deployment import DeploymentPlan
from dragonflynotch.testing.minion import MinionApp
from dragonflynotch.testing.object_store import (
    MemoryObjectStore,
    ObjectStoreApp,
)
from dragonflynotch.testing.table import MemoryTable, TableApp
from dragonflynotch.testing.worker import WorkerApp

__all__ = ('RunningDeployment',)


class RunningDeployment:
    """Context manager that runs the daemons of a plan as asyncio tasks.

    Parameters
    ----------
    plan : DeploymentPlan
        Settings of all processes.

    Examples
    --------
    >>> async with RunningDeployment(plan) as deployment:
    ...     deployment.count_runs(b'fridge 4 c')
    0
    """

    def __init__(self, plan: DeploymentPlan) -> None:
        """Prepare the deployment; entering the context starts it."""
        self.table = MemoryTable()
        self.store = MemoryObjectStore()
        self.minions: dict[str, MinionApp] = {}
        self.workers: dict[str, WorkerApp] = {}
        self._plan = plan
        self._stop = asyncio.Event()
        self._stand_ins: list[HttpServer] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Start the stand-ins, then the entries and guards."""
        self._serve(TableApp(self.table), self._plan.table)
        self._serve(ObjectStoreApp(self.store), self._plan.object_store)
        for settings in self._plan.guards:
            self._serve_back_ends(settings)
        entries = map(Entry, self._plan.entries)
        guards = map(Guard, self._plan.guards)
        self._tasks = [
            *(asyncio.create_task(each.run(self._stop)) for each in entries),
            *(asyncio.create_task(each.run(self._stop)) for each in guards),
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the entries and guards gracefully, then the stand-ins."""
        self._stop.set()
        await asyncio.gather(*self._tasks)
        await asyncio.gather(*(server.stop() for server in self._stand_ins))

    def count_runs(self, body: bytes) -> int:
        """Return the number of runs of this body on all minions."""
        text = body.decode('latin-1')
        return sum(minion.runs[text] for minion in self.minions.values())

    def _serve_back_ends(self, guard: GuardSettings) -> None:
        if guard.minion is not None:
            minion = MinionApp(guard.minion.minion_id)
            self.minions[guard.minion.minion_id] = minion
            self._serve(minion, guard.minion.address)
        if guard.worker is not None:
            worker = WorkerApp(self.store)
            self.workers[guard.worker.worker_id] = worker
            self._serve(worker, guard.worker.address)

    def _serve(self, app: Any, address: Address) -> None:
        server = HttpServer(app, *address.host_and_port)
        server.start()
        self._stand_ins.append(server)
