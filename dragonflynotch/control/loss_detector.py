"""Finds minions that have ended with their machines.

A machine without power reports nothing, like one that is cut off. Only the
platform's list of machines tells them apart: a minion is one life of a machine,
so a minion that the list lacks does not come back.
"""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.machines import MachineDirectory, MachineList
from dragonflynotch.core.untrusted import shorten
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.placement.workers import Worker

__all__ = ('LossCounts', 'LossDetector', 'LostMachine')

# A guard that can write does so at least every 1.5 s.
_MAX_REPORT_AGE_MS = 2000
# Without recent changes, each report would seem too old.
_MAX_REPLICA_AGE_MS = 1800
_LOOKUP_INTERVAL_MS = 500


@dataclass(slots=True)
class LossCounts:
    """Counts since the start of the process, for metrics.

    Parameters
    ----------
    machines_lost : int
        Machines whose runs were given up because their minions have ended.
    failed_lookups : int
        Lookups in the list of machines that failed.
    """

    machines_lost: int = 0
    failed_lookups: int = 0


@dataclass(frozen=True, slots=True)
class LostMachine:
    """A worker whose minion has certainly ended.

    Parameters
    ----------
    worker : Worker
        The worker with the last report of its guard.
    report_age_ms : int
        Time since the leader received that report.
    list_age_ms : int
        Time since the list of machines was requested.
    """

    worker: Worker
    report_age_ms: int
    list_age_ms: int


@dataclass(frozen=True, slots=True)
class _Answer:
    machines: MachineList
    sent_ms: int


class LossDetector:
    """Looks up the minions of silent guards, in the background.

    Parameters
    ----------
    directory : MachineDirectory
        List of the machines.
    clock : SteadyClock
        Measures the ages of reports and lists.
    counts : LossCounts
        Counts lost machines and failed lookups.
    on_answer : callable
        Called when a lookup has ended, so that its answer can be used at once.
    """

    def __init__(
        self,
        directory: MachineDirectory,
        clock: SteadyClock,
        counts: LossCounts,
        on_answer: Callable[[], None],
    ) -> None:
        """Create a detector that has seen no report."""
        self._directory = directory
        self._clock = clock
        self._counts = counts
        self._on_answer = on_answer
        # When the last report of each node was received.
        self._received_ms: dict[str, int] = {}
        self._lookup: asyncio.Task[_Answer] | None = None
        self._next_lookup_ms = clock.now_ms()
        self._is_available = True

    def record_report(self, node: str) -> None:
        """Record that the guard on a node has written a report."""
        self._received_ms[node] = self._clock.now_ms()

    def record_loss(self, lost: LostMachine) -> None:
        """Count and log a machine whose runs have been given up."""
        self._counts.machines_lost += 1
        decision_log.record(
            'machine_lost',
            guard=lost.worker.node,
            minion=lost.worker.minion_id,
            report_age_ms=lost.report_age_ms,
            list_age_ms=lost.list_age_ms,
        )

    def find_lost(
        self, workers: Collection[Worker], replica_age_ms: int | None
    ) -> list[LostMachine]:
        """Return the workers that a new answer proves to be lost.

        Starts a lookup if a guard has been silent for too long, and returns
        without waiting for it. Each answer is used once.

        Parameters
        ----------
        workers : collection of Worker
            All workers with their last reports.
        replica_age_ms : int or None
            Time since all reports were certainly known, or ``None`` if they
            have never been.
        """
        answer = self._take_answer()
        now_ms = self._clock.now_ms()
        is_due = self._lookup is None and now_ms >= self._next_lookup_ms
        if is_due and _is_recent(replica_age_ms):
            self._look_up_silent(workers, now_ms)
        if answer is None:
            return []
        covered = self._covered_services(workers, answer)
        return [
            LostMachine(
                worker,
                now_ms - self._received_ms[worker.node],
                now_ms - answer.sent_ms,
            )
            for worker in workers
            if worker.report.service in covered
            and self._is_silent(worker, answer.sent_ms)
            and not answer.machines.has_minion(worker.minion_id)
        ]

    def close(self) -> None:
        """Cancel the lookup that is under way."""
        if self._lookup is not None:
            self._lookup.cancel()

    def _look_up_silent(self, workers: Collection[Worker], now_ms: int) -> None:
        if any(self._is_silent(worker, now_ms) for worker in workers):
            self._next_lookup_ms = now_ms + _LOOKUP_INTERVAL_MS
            self._lookup = asyncio.create_task(self._request_list(now_ms))
            self._lookup.add_done_callback(lambda _: self._on_answer())

    async def _request_list(self, sent_ms: int) -> _Answer:
        return _Answer(await self._directory.list_minions(), sent_ms)

    def _take_answer(self) -> _Answer | None:
        lookup = self._lookup
        if lookup is None or not lookup.done():
            return None
        self._lookup = None
        error = lookup.exception()
        self._record_availability(error)
        return lookup.result() if error is None else None

    def _record_availability(self, error: BaseException | None) -> None:
        """Count a failure, and log the first one and the next success."""
        if error is not None:
            self._counts.failed_lookups += 1
        is_available = error is None
        if is_available == self._is_available:
            return
        self._is_available = is_available
        decision_log.record(
            'machine_list_regained' if is_available else 'machine_list_lost',
            reason='' if error is None else shorten(repr(error)),
        )

    def _is_silent(self, worker: Worker, at_ms: int) -> bool:
        """Return whether the report was too old when a list was requested.

        A minion that leaves is not looked up: it may run on after its machine
        has left the list.
        """
        return (
            bool(worker.minion_id)
            and worker.report.is_ready
            and not self._has_reported(worker, at_ms)
        )

    def _has_reported(self, worker: Worker, at_ms: int) -> bool:
        received_ms = self._received_ms[worker.node]
        return at_ms - received_ms < _MAX_REPORT_AGE_MS

    def _covered_services(
        self, workers: Collection[Worker], answer: _Answer
    ) -> set[str]:
        """Return the services of which the list is known to have the minions.

        It has to list most minions whose guards report. Some that it lacks may
        have ended or started a moment ago.
        """
        # One for a minion that is listed, minus one for another one.
        balances: dict[str, int] = {}
        for worker in workers:
            if not worker.minion_id:
                continue
            if self._has_reported(worker, answer.sent_ms):
                service = worker.report.service
                is_listed = answer.machines.has_minion_of(
                    service, worker.minion_id
                )
                balance = 1 if is_listed else -1
                balances[service] = balances.get(service, 0) + balance
        return {service for service, balance in balances.items() if balance > 0}


def _is_recent(replica_age_ms: int | None) -> bool:
    return replica_age_ms is not None and replica_age_ms < _MAX_REPLICA_AGE_MS
