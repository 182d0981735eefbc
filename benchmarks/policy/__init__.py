"""Replays generated workloads against scheduling policies and compares them.

Definitions
-----------
Completion time
    Time from submission to the end of a job. It is reported for *sound* jobs:
    jobs that fit the hardware, declare their size correctly, can succeed and
    are never cancelled. This set is the same for every policy. A sound job
    that does not finish counts with its age at the latest possible end of the
    replay, 24 h after the last arrival.
Fragmentation
    At a given time and in one data centre, let ``S`` be the largest waiting
    shape, by accelerators, that would fit the currently healthy hardware if
    all of it were idle. A
    domain of ``S`` is a worker, a rack or a maximal run of adjacent racks,
    according to its proximity. Fragmentation is the number of free
    accelerators in domains in which ``S`` does not fit at that time, divided
    by the number of all free accelerators. It is 0 when no shape waits or no
    accelerator is free. It is averaged over the time during which jobs
    arrive, and over data centres by their number of accelerators.
    Accelerators of lost or failing workers are not free.
Utilisation
    Accelerator time held by members, divided by the accelerator time of the
    workers that are present, over the period in which jobs arrive.
Lost work
    Accelerator time of work that was discarded because a gang stopped before
    a checkpoint had saved it. Gangs stopped by the scheduler (preemption) and
    gangs ended by a fault are counted separately.
Guarantee violation
    A waiting job is covered while its shape fits into the unused part of one
    guarantee of its workspace with the same or a narrower proximity. Every
    running job of the workspace counts as use of the guarantee, even if it
    runs on capacity outside it. The guarantee is violated if a job stays
    covered without interruption, before it computes, for longer than the
    bound on the design page: 1 s for urgent jobs under an urgent guarantee,
    otherwise the sum of checkpoint bound, stop bound and task lease. No job
    is covered while a worker of the data centre is lost, fails all tasks or
    is still quarantined after it failed all tasks.
Partial gang
    A gang of which a member starts before all members hold their
    accelerators, or of which a member still runs when a time bound has passed
    since another member ended early.

Every policy sees the same arrivals, data centres and faults.
"""

__all__ = ()
