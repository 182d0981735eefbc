"""Why a job of a play had no run, as far as its logs tell."""

from collections import Counter
from enum import StrEnum

from benchmarks.site_days.log_entries import LogEntry
from benchmarks.site_days.minion_losses import PROCESS_GONE
from benchmarks.site_days.played_fleet import PlayedFleet
from benchmarks.site_days.played_jobs import PlayedJob

__all__ = ('LeaderLog', 'WaitCause')


class WaitCause(StrEnum):
    """What keeps a job from running although its turn has come."""

    no_leader = 'no leader'
    lost_machine = 'held by a lost machine'
    # The guard cannot write its report, so that its runs are held.
    silent_guard = 'held by a guard without the store'
    order_not_started = 'ordered but not at work'
    end_not_recorded = 'end not recorded'
    # A task of an earlier step is at work again.
    end_lost = 'end lost, run repeated'
    reserved = 'room reserved'
    excluded = 'excluded'
    avoided = 'avoided'
    kept_apart = 'kept apart'
    off_rack = 'rack'
    # The step fits, and the leader says that it does not.
    believed_full = 'full by belief'
    full = 'full'
    # The leader has logged nothing about the wait.
    unknown = 'not logged'


# Causes that the leader names itself.
_LOGGED_CAUSES = {
    'reserved': WaitCause.reserved,
    'excluded': WaitCause.excluded,
    'avoided': WaitCause.avoided,
    'kept_apart': WaitCause.kept_apart,
    'off_rack': WaitCause.off_rack,
    'starts_paused': WaitCause.no_leader,
    'full': WaitCause.full,
    'no_candidates': WaitCause.full,
}
_PAUSE_EVENTS = {
    'decisions_paused': True,
    'starts_paused': True,
    'decisions_resumed': False,
    'starts_resumed': False,
}


class LeaderLog:
    """What the leader's entries tell at a time of the play."""

    def __init__(self) -> None:
        """Start without a leader."""
        self._leader = ''
        self._pauses: set[str] = set()
        self._last_waits: dict[tuple[str, int], LogEntry] = {}
        self._causes: dict[str, WaitCause] = {}
        # Nodes whose guards cannot write their reports.
        self._silent_nodes: set[str] = set()
        self.takeovers = 0

    def apply(self, entry: LogEntry) -> None:
        """Apply an entry of the logs."""
        match entry.event:
            case 'scheduling_started':
                self._leader = entry.node
                self._pauses.clear()
                self.takeovers += 1
            case 'lease_claimed' | 'lease_lost' | 'lease_handed_over':
                self._end_term(entry)
            case 'step_waits':
                self._last_waits[entry.job, entry.step] = entry
                self._causes[entry.job] = _cause_of_wait(entry)
            case 'job_idle':
                self._note_cause(entry)
            case 'report_not_written':
                self._silent_nodes.add(entry.node)
            case 'report_written':
                self._silent_nodes.discard(entry.node)
            case event if event == PROCESS_GONE:
                self._silent_nodes.discard(entry.node)
                self._end_term(entry)
            case event if event in _PAUSE_EVENTS:
                self._note_pause(entry)

    def last_wait(self, job: str, step: int) -> LogEntry | None:
        """Return the last entry about the wait of a step."""
        return self._last_waits.get((job, step))

    def find_cause(
        self, fleet: PlayedFleet, job: PlayedJob, step: int
    ) -> WaitCause:
        """Return why a step has no run at this time."""
        if not self._leader or self._pauses:
            return WaitCause.no_leader
        tasks = set(job.tasks_of(step))
        ordered = tasks & fleet.ordered.keys()
        if ordered:
            return self._cause_of_order(fleet, ordered)
        for before in job.steps[step].after:
            if fleet.is_repeated(job, before):
                return WaitCause.end_lost
            unrecorded = fleet.unrecorded & set(job.tasks_of(before))
            if unrecorded:
                return self._cause_of_order(fleet, unrecorded)
        return self._logged_cause(fleet, job, step)

    def _cause_of_order(self, fleet: PlayedFleet, tasks: set[str]) -> WaitCause:
        """Return why tasks that the leader takes for active do not run."""
        minions = {fleet.ordered.get(task, '') for task in tasks}
        if minions <= fleet.minions_of(self._silent_nodes):
            return WaitCause.silent_guard
        if tasks <= fleet.unrecorded:
            return WaitCause.end_not_recorded
        if not any(map(fleet.is_up, minions)):
            return WaitCause.lost_machine
        return WaitCause.order_not_started

    def _logged_cause(
        self, fleet: PlayedFleet, job: PlayedJob, step: int
    ) -> WaitCause:
        cause = self._causes.get(job.job_id, WaitCause.unknown)
        fits = fleet.fit_count(job, step) >= job.steps[step].start_count
        if cause is WaitCause.full and fits:
            return WaitCause.believed_full
        return cause

    def forget(self, job_id: str) -> None:
        """Forget why a job waited, since a run of it is at work."""
        self._causes.pop(job_id, None)

    def _end_term(self, entry: LogEntry) -> None:
        if entry.event == 'lease_claimed' or entry.node == self._leader:
            self._leader = ''

    def _note_pause(self, entry: LogEntry) -> None:
        if entry.node != self._leader:
            return
        name = entry.event.partition('_')[0]
        if _PAUSE_EVENTS[entry.event]:
            self._pauses.add(name)
        else:
            self._pauses.discard(name)

    def _note_cause(self, entry: LogEntry) -> None:
        cause = _LOGGED_CAUSES.get(entry.cause)
        if cause is not None:
            self._causes[entry.job] = cause


def _cause_of_wait(entry: LogEntry) -> WaitCause:
    kept = Counter(
        {
            WaitCause.reserved: entry.fit_free - entry.fit_unreserved,
            WaitCause.excluded: entry.fit_excluded,
            WaitCause.avoided: entry.fit_avoided,
            WaitCause.kept_apart: entry.fit_kept_apart,
            WaitCause.off_rack: entry.fit_off_rack,
        }
    )
    cause, count = kept.most_common(1)[0]
    return cause if count > 0 else WaitCause.full
