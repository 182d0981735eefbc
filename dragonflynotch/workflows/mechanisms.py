"""Parts of the scheduling policy that an experiment can leave out."""

from dataclasses import dataclass

__all__ = ('Mechanisms',)


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which parts of the policy a scheduler uses.

    Programs use all of them. An ablation leaves out one, to measure what it is
    worth; some keep a promise whatever they earn.

    Parameters
    ----------
    preempts_for_guarantees : bool
        Guaranteed work stops less urgent runs.
    preempts_for_objectives : bool
        Other work stops less urgent runs to be on time.
    prefers_overdue : bool
        One overdue job comes before other work.
    orders_by_work_left : bool
        Within a priority, the job with the least work left comes first; by the
        latest start otherwise.
    prefers_repeats : bool
        Within a priority, repeats of lost runs that keep the next step of
        their job from starting come first.
    reserves : bool
        Steps that do not fit reserve resources; shorter runs may use them.
    backfills : bool
        Later steps use room that reservations or exclusions of workers keep
        idle for too long.
    bounds_waits : bool
        A job that has waited beside free room for too long gets a run,
        whatever preferences and reservations say.
    waits_for_rack : bool
        Tasks wait for the rack of their data, and gangs for one rack.
    prefers_sound_workers : bool
        Workers without recent failures come first, and those with several are
        left out.
    moves_departing : bool
        Runs on leaving workers are saved or moved.
    stops_stalled : bool
        Runs without progress are stopped and started elsewhere.
    avoids_slow_workers : bool
        Workers on which runs have become slow come last.
    """

    preempts_for_guarantees: bool = True
    preempts_for_objectives: bool = True
    prefers_overdue: bool = True
    orders_by_work_left: bool = True
    prefers_repeats: bool = True
    reserves: bool = True
    backfills: bool = True
    bounds_waits: bool = True
    waits_for_rack: bool = True
    prefers_sound_workers: bool = True
    moves_departing: bool = True
    stops_stalled: bool = True
    avoids_slow_workers: bool = True
