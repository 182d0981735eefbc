"""Metrics of the processes that accept, schedule and run jobs."""

from dragonflynotch.observability.job_metrics import JobMetrics
from dragonflynotch.workflows.ordering.shares import WorkspaceShare


def shares_in(metrics):
    return {
        line.partition('{')[0].removeprefix('dragonflynotch_workspace_'): float(
            line.rpartition(' ')[2]
        )
        for line in metrics.render().decode().splitlines()
        if line.startswith('dragonflynotch_workspace_')
    }


def test_shares_of_a_former_scheduler_are_zero():
    """Two processes must not report the shares of different times."""
    metrics = JobMetrics('front-1', dict)
    metrics.record_shares({'team': WorkspaceShare(0.5, 0.25, 0.1)})
    assert shares_in(metrics) == {
        'current_share': 0.5,
        'recent_share': 0.25,
        'entitled_share': 0.1,
    }
    metrics.record_shares({})
    assert set(shares_in(metrics).values()) == {0}
