"""Load of the soak test: submits, polls, resubmits and cancels jobs."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from benchmarks.soak.findings import Timeline
from benchmarks.soak.fleet import Fleet
from benchmarks.soak.invariants import (
    RunChecks,
    check_cancelled,
    check_urgent,
)
from benchmarks.soak.jobs import (
    BATCH,
    GUARANTEED_ACCELERATORS,
    QUEUES,
    URGENT,
    SoakJob,
    create_random_job,
)
from dragonflynotch.testing.platform_site import SiteQueue
from dragonflynotch.testing.site_caller import Answer, SiteCaller

__all__ = ('Callers',)

_JOBS_PER_S = 1.2
_BURST_JOBS = 8
_MAX_ATTEMPTS = 5
_RETRY_INTERVAL_S = 0.3
_POLL_INTERVAL_S = 0.5
_DUPLICATE_SHARE = 0.15
_CANCEL_SHARE = 0.08
_URGENT_INTERVAL_S = 2.5
# Time limits of the deployment.
_VISIBILITY_LIMIT_S = 3.0
_APPLY_LIMIT_S = 2.0
# A stopping entry must answer each complete request. A call that ends without
# an answer within this time is not counted: its connection may have broken
# before the request was complete.
_CONNECTION_SLACK_S = 0.2


class Callers:
    """Clients that call all entries."""

    def __init__(
        self, fleet: Fleet, checks: RunChecks, timeline: Timeline, seed: int
    ) -> None:
        """Create the callers; ``run`` starts the load."""
        self._fleet = fleet
        self._checks = checks
        self._timeline = timeline
        self._random = Random(seed)
        self._crash_random = Random(f'crashing jobs of {seed}')
        self._callers: list[SiteCaller] = []
        self._stopping_entries: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # Time at which the store acknowledged each added queue.
        self._queue_added_s: dict[str, float] = {}
        # Index of the newest added queue that an entry has answered for, by the
        # number of the entry and of its start.
        self._newest_queues_seen: dict[tuple[int, int], int] = {}

    async def run(self, length_s: float) -> None:
        """Submit jobs and poll their states until ``length_s`` has passed."""
        self._callers = [
            SiteCaller(link.address) for link in self._fleet.caller_links
        ]
        urgent = asyncio.create_task(self._submit_urgent_jobs())
        queue_polls = asyncio.create_task(self._poll_queues())
        try:
            while self._timeline.now_s() < length_s:
                self._spawn(create_random_job(self._random))
                await asyncio.sleep(self._random.expovariate(_JOBS_PER_S))
        finally:
            urgent.cancel()
            queue_polls.cancel()

    async def finish(self) -> None:
        """Poll the states of all jobs until they have ended."""
        await asyncio.gather(*self._tasks)

    def close(self) -> None:
        """Cancel all calls and close the connections."""
        for task in self._tasks:
            task.cancel()
        for caller in self._callers:
            caller.close()

    def set_stopping(self, entry: int, *, is_stopping: bool) -> None:
        """Record that a planned stop of an entry begins or is over."""
        if is_stopping:
            self._stopping_entries.add(entry)
        else:
            self._stopping_entries.discard(entry)

    async def submit_burst(self) -> None:
        """Submit several jobs at the same time."""
        for _ in range(_BURST_JOBS):
            self._spawn(create_random_job(self._random))

    async def submit_crashing_job(self) -> None:
        """Submit a job whose first task crashes each minion."""
        job = create_random_job(self._crash_random)
        job.crashes_minions = True
        self._checks.crashing_tasks.add(job.tasks[0])
        self._spawn(job)

    async def cancel_half(self) -> None:
        """Cancel half of the accepted jobs that have not ended."""
        jobs = [
            job
            for job in self._checks.jobs.values()
            if job.accepted_s is not None and not job.has_ended
        ]
        sampled = self._random.sample(jobs, len(jobs) // 2)
        await asyncio.gather(*(self._cancel(job) for job in sampled))

    async def add_queue(self) -> None:
        """Add a queue to the configuration."""
        name = f'extra-{len(self._queue_added_s)}'
        queues = [*QUEUES, *self._queue_added_s, name]
        await self._fleet.configure(
            [
                SiteQueue(queue, priority=0 if queue == URGENT else 1)
                for queue in queues
            ],
            GUARANTEED_ACCELERATORS,
        )
        self._queue_added_s[name] = self._timeline.now_s()

    # ---- jobs ------------------------------------------------------------

    def _spawn(self, job: SoakJob) -> asyncio.Task[None]:
        task = asyncio.create_task(self._run_job(job))
        self._tasks.add(task)
        return task

    async def _submit_urgent_jobs(self) -> None:
        while True:
            await asyncio.sleep(_URGENT_INTERVAL_S)
            # One urgent job at a time, to stay within the guarantee.
            await asyncio.shield(
                self._spawn(create_random_job(self._random, URGENT))
            )

    async def _run_job(self, job: SoakJob) -> None:
        self._checks.add(job)
        await self._submit(job)
        if job.accepted_s is None:
            return
        if self._random.random() < _DUPLICATE_SHARE:
            await asyncio.sleep(self._random.random())
            await self._submit_once(job)
        is_cancelled = self._random.random() < _CANCEL_SHARE
        if is_cancelled and job.queue == BATCH:
            await asyncio.sleep(self._random.random())
            await self._cancel(job)
        while not job.has_ended:
            await asyncio.sleep(_POLL_INTERVAL_S)
            await self._poll_state(job)
            check_urgent(job, self._checks, self._timeline)
            check_cancelled(job, self._checks, self._timeline)

    async def _submit(self, job: SoakJob) -> None:
        for _ in range(_MAX_ATTEMPTS):
            answer = await self._submit_once(job)
            if answer.is_accepted:
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _submit_once(self, job: SoakJob) -> Answer:
        answer = await self._call(
            lambda caller: caller.submit(
                job.queue, job.job_id, job.payload, job.steps
            )
        )
        job.answers.append(answer)
        if answer.is_accepted and job.accepted_s is None:
            job.accepted_s = self._timeline.now_s()
        return answer

    async def _cancel(self, job: SoakJob) -> None:
        job.cancel_sent_s = self._timeline.now_s()
        for _ in range(_MAX_ATTEMPTS):
            answer = await self._cancel_once(job)
            if answer.is_accepted or answer.is_unknown_job:
                job.cancelled_s = self._timeline.now_s()
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _cancel_once(self, job: SoakJob) -> Answer:
        return await self._call(
            lambda caller: caller.cancel(job.queue, job.job_id)
        )

    async def _poll_state(self, job: SoakJob) -> None:
        sent_s = self._timeline.now_s()
        answer = await self._call(
            lambda caller: caller.state(job.queue, job.job_id)
        )
        accepted_s = sent_s if job.accepted_s is None else job.accepted_s
        if answer.is_unknown_job and sent_s > accepted_s + _VISIBILITY_LIMIT_S:
            self._timeline.add_finding('accepted jobs are visible', job.job_id)
            job.has_ended = True
        if answer.state == 'completed':
            self._check_completed(job)
        elif answer.state in {'failed', 'cancelled'}:
            job.has_ended = True
            self._check_unsuccessful_end(job, answer.state)

    def _check_completed(self, job: SoakJob) -> None:
        job.has_ended = True
        job.completed_s = self._timeline.now_s()
        missing = set(job.tasks) - self._checks.done
        if missing:
            self._timeline.add_finding(
                'tasks of completed jobs have ended',
                f'{missing} have not ended',
            )
        if job.accepted_s is not None:
            started_s = min(
                self._checks.first_starts.get(task, job.accepted_s)
                for task in job.tasks
            )
            self._timeline.waits.append(
                (job.accepted_s, max(0, started_s - job.accepted_s))
            )

    def _check_unsuccessful_end(self, job: SoakJob, state: str) -> None:
        if state == 'cancelled' and job.cancel_sent_s is not None:
            return
        failed = {
            task
            for task, _, kind in self._checks.ends
            if kind == 'failed' and task.startswith(job.job_id)
        }
        if state == 'failed' and (failed or job.crashes_minions):
            job.has_failed = True
            return
        self._timeline.add_finding(
            'no job ends without cause', f'{job.job_id} ended as {state}'
        )

    # ---- queues in the configuration ---------------------------------------

    async def _poll_queues(self) -> None:
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            await asyncio.gather(
                *(
                    self._check_queues(number)
                    for number in range(len(self._callers))
                )
            )

    async def _check_queues(self, number: int) -> None:
        entry = self._fleet.entries[number]
        start_count = entry.start_count
        for index, (name, added_s) in enumerate(
            tuple(self._queue_added_s.items())
        ):
            sent_s = self._timeline.now_s()
            answer = await self._callers[number].count(name)
            if entry.start_count != start_count:
                return
            newest_seen = self._newest_queues_seen.get(
                (number, start_count), -1
            )
            if answer.is_accepted:
                self._newest_queues_seen[number, start_count] = max(
                    newest_seen, index
                )
            elif answer.status == 404:
                self._check_configuration(
                    number, sent_s, added_s, index <= newest_seen
                )

    def _check_configuration(
        self, number: int, sent_s: float, added_s: float, was_seen: bool
    ) -> None:
        if was_seen:
            self._timeline.add_finding(
                'the configuration never reverts', f'entry {number}'
            )
        is_late = sent_s > added_s + _APPLY_LIMIT_S
        if is_late and self._timeline.is_fault_free(added_s, sent_s):
            self._timeline.add_finding(
                'the configuration is applied in time', f'entry {number}'
            )

    # ---- calls -----------------------------------------------------------

    async def _call(
        self, send: Callable[[SiteCaller], Awaitable[Answer]]
    ) -> Answer:
        number = self._random.randrange(len(self._callers))
        sent_s = self._timeline.now_s()
        answer = await send(self._callers[number])
        duration_s = self._timeline.now_s() - sent_s
        is_unanswered = answer.is_sent and answer.status == 0
        if (
            is_unanswered
            and duration_s > _CONNECTION_SLACK_S
            and number in self._stopping_entries
        ):
            self._check_stopping_entry(number, sent_s)
        return answer

    def _check_stopping_entry(self, number: int, sent_s: float) -> None:
        if self._timeline.is_fault_free(
            sent_s, self._timeline.now_s(), ignored_kind='entry_stopped'
        ):
            self._timeline.add_finding(
                'a stopping entry answers', f'entry {number}'
            )
