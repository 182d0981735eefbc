"""Replays generated workloads against scheduling policies and compares them.

Definitions
-----------
Completion time
    From submission to the end of the job, over *sound* jobs: jobs that fit
    the hardware, declare their size correctly, can succeed and are never
    cancelled. The set is the same for every policy. A sound job that was
    given up or has not ended counts with its age at the last possible end of
    the replay, 24 h after the last arrival.
Fragmentation
    At a moment, in one data centre, let ``S`` be the waiting shape with the
    most accelerators that fits the present healthy hardware when idle. A
    domain of ``S`` is a worker, a rack or a maximal run of adjacent racks,
    according to its proximity. Fragmentation is the number of free
    accelerators in domains in which ``S`` does not fit at this moment, divided
    by the number of all free accelerators. It is 0 when no shape waits or no
    accelerator is free. It is averaged over the time during which jobs
    arrive, and over data centres by their number of accelerators.
    Accelerators of lost or failing workers are not free.
Utilisation
    Accelerator time held by members over the accelerator time of workers that
    are present, during the time in which jobs arrive.
Lost work
    Accelerator time that was computed and then discarded because a gang
    stopped without a checkpoint of it, split into gangs that the scheduler
    stopped (preemption) and gangs that a fault ended.
Guarantee violation
    A waiting job is covered while its shape fits into what the running jobs of
    its workspace leave of one guarantee with the same or a narrower proximity;
    every running job of the workspace counts against it, also one that runs
    elsewhere.
    It is a violation when a job is covered without interruption for longer
    than the bound of the design page before it computes: 1 s for urgent jobs
    under an urgent guarantee, else checkpoint bound, stop bound and task
    lease. Coverage lapses while a worker of the data centre is lost, fails
    everything, or is rightly quarantined.
Partial gang
    A member starts before the whole gang holds its accelerators, or a member
    still runs when a bound has passed after another one ended early.

Every policy sees the same arrivals, data centres and faults.
"""

__all__ = ()
