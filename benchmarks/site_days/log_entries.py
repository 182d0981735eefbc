"""Fields of the programs' log entries that concern minions, runs and jobs."""

import msgspec

from benchmarks.site_days.played_jobs import PlayedStep

__all__ = ('LogEntry', 'ReportedEnd')


class ReportedEnd(msgspec.Struct):
    """The end of a run in a report that a guard has written."""

    task: str
    run: int


class LogEntry(msgspec.Struct):
    """An entry of the logs; fields that it lacks have their defaults."""

    event: str
    node: str = ''
    program: str = ''
    job: str = ''
    task: str = ''
    run: int = 0
    kind: str = ''
    unseen_ms: int = -1
    ends: list[ReportedEnd] = []
    cause: str = ''
    minion: str = ''
    outcome: str = ''
    reason: str = ''
    is_draining: bool = False
    capacity: tuple[int, int, int] | None = None
    labels: tuple[str, ...] | None = None
    lost_for_ms: int = 0
    report_age_ms: int = -1
    steps: list[PlayedStep] = []
    step: int = 0
    tier: int = -1
    candidates: int = -1
    avoided: list[str] = []
    fit_free: int = -1
    fit_unreserved: int = -1
    fit_excluded: int = 0
    fit_avoided: int = 0
    fit_kept_apart: int = 0
    fit_off_rack: int = 0
    oldest_report_ms: int = -1
    backfilled: int = 0
    capacity_in_use: float = -1
