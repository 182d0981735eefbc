"""Load of the soak: callers that submit, ask, repeat and cancel."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from benchmarks.soak.findings import Timeline
from benchmarks.soak.fleet import Fleet
from benchmarks.soak.jobs import (
    BATCH,
    GUARANTEED,
    QUEUES,
    URGENT,
    SoakJob,
    draw_job,
)
from benchmarks.soak.promises import (
    RunChecks,
    check_cancelled,
    check_urgent,
)
from dragonflynotch.testing.platform_site import SiteQueue
from dragonflynotch.testing.site_caller import Answer, SiteCaller

__all__ = ('Callers',)

_JOBS_PER_S = 1.2
_BURST = 8
_ATTEMPTS = 5
_RETRY_S = 0.3
_POLL_S = 0.5
_DUPLICATE_SHARE = 0.15
_CANCEL_SHARE = 0.08
_URGENT_PAUSE_S = 2.5
# Bounds of the deployment, in seconds.
_VISIBLE_S = 3.0
_APPLY_S = 2.0
# A complete request ends with an answer, unless its connection broke within
# this time.
_LOSS_SLACK_S = 0.2


class Callers:
    """Callers of all entries."""

    def __init__(
        self, fleet: Fleet, checks: RunChecks, timeline: Timeline, seed: int
    ) -> None:
        """Create the callers; ``run`` makes them call."""
        self._fleet = fleet
        self._checks = checks
        self._timeline = timeline
        self._random = Random(seed)
        self._callers: list[SiteCaller] = []
        self._leaving: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # When each added queue was acknowledged by the store.
        self._added: dict[str, float] = {}
        # Newest queue that each start of an entry has shown.
        self._shown: dict[tuple[int, int], int] = {}

    async def run(self, length_s: float) -> None:
        """Submit jobs and ask for their states for some time."""
        self._callers = [
            SiteCaller(link.address) for link in self._fleet.caller_links
        ]
        urgent = asyncio.create_task(self._submit_urgent())
        versions = asyncio.create_task(self._watch_queues())
        try:
            while self._timeline.now_s() < length_s:
                self._spawn(draw_job(self._random))
                await asyncio.sleep(self._random.expovariate(_JOBS_PER_S))
        finally:
            urgent.cancel()
            versions.cancel()

    async def finish(self) -> None:
        """Ask for the states of all jobs until they have ended."""
        await asyncio.gather(*self._tasks)

    def close(self) -> None:
        """End all calls."""
        for task in self._tasks:
            task.cancel()
        for caller in self._callers:
            caller.close()

    def expect_answers(self, entry: int, *, is_leaving: bool) -> None:
        """Take note that an entry leaves as planned, or is back."""
        if is_leaving:
            self._leaving.add(entry)
        else:
            self._leaving.discard(entry)

    async def submit_many(self) -> None:
        """Submit several jobs at once."""
        for _ in range(_BURST):
            self._spawn(draw_job(self._random))

    async def cancel_some(self) -> None:
        """Cancel half of the open jobs."""
        jobs = [
            job
            for job in self._checks.jobs.values()
            if job.accepted_s is not None and not job.has_ended
        ]
        chosen = self._random.sample(jobs, len(jobs) // 2)
        await asyncio.gather(*(self._cancel(job) for job in chosen))

    async def change_queues(self) -> None:
        """Add a queue to the configuration."""
        name = f'extra-{len(self._added)}'
        queues = [*QUEUES, *self._added, name]
        await self._fleet.configure(
            [
                SiteQueue(one, priority=0 if one == URGENT else 1)
                for one in queues
            ],
            GUARANTEED,
        )
        self._added[name] = self._timeline.now_s()

    # ---- jobs ------------------------------------------------------------

    def _spawn(self, job: SoakJob) -> asyncio.Task[None]:
        task = asyncio.create_task(self._serve(job))
        self._tasks.add(task)
        return task

    async def _submit_urgent(self) -> None:
        while True:
            await asyncio.sleep(_URGENT_PAUSE_S)
            # One at a time, so that they stay within the guarantee.
            await asyncio.shield(self._spawn(draw_job(self._random, URGENT)))

    async def _serve(self, job: SoakJob) -> None:
        self._checks.add(job)
        await self._submit(job)
        if job.accepted_s is None:
            return
        if self._random.random() < _DUPLICATE_SHARE:
            await asyncio.sleep(self._random.random())
            await self._try_submit(job)
        is_cancelled = self._random.random() < _CANCEL_SHARE
        if is_cancelled and job.queue == BATCH:
            await asyncio.sleep(self._random.random())
            await self._cancel(job)
        while not job.has_ended:
            await asyncio.sleep(_POLL_S)
            await self._ask(job)
            check_urgent(job, self._checks, self._timeline)
            check_cancelled(job, self._checks, self._timeline)

    async def _submit(self, job: SoakJob) -> None:
        for _ in range(_ATTEMPTS):
            answer = await self._try_submit(job)
            if answer.is_accepted:
                return
            await asyncio.sleep(_RETRY_S)

    async def _try_submit(self, job: SoakJob) -> Answer:
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
        for _ in range(_ATTEMPTS):
            answer = await self._try_cancel(job)
            if answer.is_accepted or answer.is_gone:
                job.cancelled_s = self._timeline.now_s()
                return
            await asyncio.sleep(_RETRY_S)

    async def _try_cancel(self, job: SoakJob) -> Answer:
        return await self._call(
            lambda caller: caller.cancel(job.queue, job.job_id)
        )

    async def _ask(self, job: SoakJob) -> None:
        asked_s = self._timeline.now_s()
        answer = await self._call(
            lambda caller: caller.state(job.queue, job.job_id)
        )
        accepted_s = asked_s if job.accepted_s is None else job.accepted_s
        if answer.is_gone and asked_s > accepted_s + _VISIBLE_S:
            self._timeline.find('accepted jobs are known', job.job_id)
            job.has_ended = True
        if answer.state == 'completed':
            self._check_completed(job)
        elif answer.state in {'failed', 'cancelled'}:
            job.has_ended = True
            self._check_lost(job, answer.state)

    def _check_completed(self, job: SoakJob) -> None:
        job.has_ended = True
        job.completed_s = self._timeline.now_s()
        missing = set(job.tasks) - self._checks.done
        if missing:
            self._timeline.find(
                'completed means done', f'{missing} have not ended'
            )
        if job.accepted_s is not None:
            started_s = min(
                self._checks.first_starts.get(task, job.accepted_s)
                for task in job.tasks
            )
            self._timeline.waits.append(
                (job.accepted_s, max(0, started_s - job.accepted_s))
            )

    def _check_lost(self, job: SoakJob, state: str) -> None:
        if state == 'cancelled' and job.cancel_sent_s is not None:
            return
        failed = {
            task
            for task, _, kind in self._checks.ends
            if kind == 'failed' and task.startswith(job.job_id)
        }
        if state == 'failed' and failed:
            job.has_failed = True
            return
        self._timeline.find(
            'no job ends without cause', f'{job.job_id} {state}'
        )

    # ---- queues of the configuration --------------------------------------

    async def _watch_queues(self) -> None:
        while True:
            await asyncio.sleep(_POLL_S)
            await asyncio.gather(
                *(
                    self._look_at_queues(number)
                    for number in range(len(self._callers))
                )
            )

    async def _look_at_queues(self, number: int) -> None:
        entry = self._fleet.entries[number]
        boot = entry.boot
        for place, (name, added_s) in enumerate(tuple(self._added.items())):
            asked_s = self._timeline.now_s()
            answer = await self._callers[number].count(name)
            if entry.boot != boot:
                return
            shown = self._shown.get((number, boot), -1)
            if answer.is_accepted:
                self._shown[number, boot] = max(shown, place)
            elif answer.status == 404:
                self._check_configuration(
                    number, asked_s, added_s, place <= shown
                )

    def _check_configuration(
        self, number: int, asked_s: float, added_s: float, is_older: bool
    ) -> None:
        if is_older:
            self._timeline.find(
                'the configuration does not go back', f'entry {number}'
            )
        is_late = asked_s > added_s + _APPLY_S
        if is_late and self._timeline.is_calm(added_s, asked_s):
            self._timeline.find(
                'the configuration is in force in time', f'entry {number}'
            )

    # ---- calls -----------------------------------------------------------

    async def _call(
        self, make: Callable[[SiteCaller], Awaitable[Answer]]
    ) -> Answer:
        number = self._random.randrange(len(self._callers))
        sent_s = self._timeline.now_s()
        answer = await make(self._callers[number])
        lasted_s = self._timeline.now_s() - sent_s
        is_lost = answer.is_sent and answer.status == 0
        if is_lost and lasted_s > _LOSS_SLACK_S and number in self._leaving:
            self._check_leaving(number, sent_s)
        return answer

    def _check_leaving(self, number: int, sent_s: float) -> None:
        if self._timeline.is_calm(
            sent_s, self._timeline.now_s(), apart_from='entry_stopped'
        ):
            self._timeline.find('a leaving entry answers', f'entry {number}')
