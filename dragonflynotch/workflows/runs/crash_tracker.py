"""Records the crashes of minions for the tasks that may have caused them."""

from collections.abc import Sequence

from dragonflynotch.workflows.crash_records import (
    CrashEvidence,
    MinionCrash,
    RunAtCrash,
    TaskCrash,
)
from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.runs.crash_budget import (
    find_suspects,
    has_outside_cause,
)

__all__ = ('CrashTracker',)

# Number of judged crashes that are remembered. Guards repeat a crash for a
# minute or more.
_MAX_JUDGED = 10_000


class CrashTracker:
    """Applies the crashes in the reports of guards to jobs.

    The records are stored with the progress of the jobs, no later than the
    orders of the lost runs are removed. Guards repeat a crash in their reports,
    so it is recorded once for each task.
    """

    def __init__(
        self, jobs: JobRegistry, decision_log: DecisionLogBuffer
    ) -> None:
        """Create a tracker that updates ``jobs``."""
        self._jobs = jobs
        self._decision_log = decision_log
        # Last reported crashes, also uncertain ones, by node.
        self._crashes: dict[str, Sequence[MinionCrash]] = {}
        # Incarnations whose crash has been judged, the latest last.
        self._judged: dict[str, None] = {}
        self._unjudged: list[tuple[str, MinionCrash]] = []

    def apply(self, node: str, crashes: Sequence[MinionCrash]) -> None:
        """Keep the crashes that the guard of a node reports."""
        self._crashes[node] = crashes
        self._unjudged.extend(
            (node, crash)
            for crash in crashes
            if crash.is_certain and crash.minion_id not in self._judged
        )

    def review(self) -> None:
        """Record the crashes that are not known yet, with all reports read.

        A new scheduler reads the reports one after another, and whether a
        crash counts depends on those on other workers.
        """
        for node, crash in self._unjudged:
            if crash.minion_id not in self._judged:
                self._judge(node, crash)
        self._unjudged.clear()

    def _judge(self, node: str, crash: MinionCrash) -> None:
        self._judged[crash.minion_id] = None
        if len(self._judged) > _MAX_JUDGED:
            self._judged.pop(next(iter(self._judged)))
        others = [
            other
            for other_node, known in self._crashes.items()
            if other_node != node
            for other in known
        ]
        if has_outside_cause(crash, others):
            self._decision_log.record(
                'crash_not_counted',
                node=node,
                minion=crash.minion_id,
                runs_on_minion=len(crash.runs),
            )
            return
        suspects, evidence = find_suspects(crash)
        for run in suspects:
            self._record(node, crash, run, evidence)

    def _record(
        self,
        node: str,
        crash: MinionCrash,
        run: RunAtCrash,
        evidence: CrashEvidence,
    ) -> None:
        found = self._jobs.find(run.task)
        if found is None:
            return
        job, _, task = found
        if job.state.is_final or task.is_done:
            return
        if any(known.minion_id == crash.minion_id for known in task.crashes):
            return
        job.record_crash(
            task,
            TaskCrash(node, crash.minion_id, run.run, crash.at_ms, evidence),
        )
        self._jobs.mark_changed(job)
        self._decision_log.record(
            'crash_recorded',
            task=run.task,
            run=run.run,
            node=node,
            minion=crash.minion_id,
            evidence=evidence.value,
            run_age_ms=run.age_ms,
            runs_on_minion=len(crash.runs),
            crashes=len(task.crashes),
        )
