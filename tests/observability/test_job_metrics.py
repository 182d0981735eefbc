"""Series of the processes that accept, schedule and run jobs."""

from dragonflynotch.observability.job_metrics import JobMetrics, LabelledGauge


def test_evacuation_is_shown_only_while_it_lasts():
    """Guards against a data centre that seems to be evacuated for ever."""
    run_counts = {}
    metrics = JobMetrics('n', dict, lambda: run_counts)
    assert b'evacuation' not in metrics.render()
    run_counts.update({'hall-a': 3, 'hall-b': 0})
    text = metrics.render().decode()
    series = 'dragonflynotch_evacuation_runs{data_centre="hall-%s",node="n"} %d'
    assert series % ('a', 3) in text
    assert series % ('b', 0) in text
    run_counts.clear()
    assert b'evacuation' not in metrics.render()


def test_labelled_gauge_has_a_series_for_each_reading():
    """Guards against idle jobs that cannot be told apart by cause."""
    gauge = LabelledGauge('idle_jobs', 'Idle jobs.', 'cause', {'full': 2})
    text = JobMetrics('n', dict, dict, lambda: (gauge,)).render().decode()
    assert 'dragonflynotch_idle_jobs{cause="full",node="n"} 2' in text
