"""Requests for tickets of the advice service."""

from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"
POLICY = {"decision_ms": 100.0, "per_worker_ms": 1.0, "valid_ms": 2_500.0}


def test_tasks_run_only_on_allowed_workers(make_harness):
    harness = make_harness(workers=4, advice=POLICY)
    harness.is_allowed = lambda step, worker_id: worker_id == "w2"
    harness.submit(JOB, job_spec({"count": 3, "cpu_milli": 500}))
    harness.run(2_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert {w.worker_id for w in harness.workers.values() if w.starts} == {"w2"}


def test_advice_is_requested_before_step_is_due(make_harness):
    harness = make_harness(workers=2, advice=POLICY)
    harness.submit(
        JOB,
        job_spec(
            {"count": 1, "cpu_milli": 500, "estimated_ms": 800},
            {"count": 1, "cpu_milli": 500, "estimated_ms": 800, "after": (0,)},
        ),
    )
    harness.run(3_000)
    first_ms = harness.starts_of(f"{JOB}.0.0.0")[0][2]
    second_ms = harness.starts_of(f"{JOB}.0.1.0")[0][2]
    assert second_ms - first_ms < 800 + 80


def test_denied_step_is_not_asked_about_repeatedly(make_harness):
    harness = make_harness(workers=2, advice=POLICY)
    harness.is_allowed = lambda step, worker_id: False
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(5_000)
    assert len(harness.advice_requests) <= 2


def test_step_with_one_allowed_worker_is_not_starved(make_harness):
    """Guards against jobs that are due sooner always taking the only worker."""
    policy = {"decision_ms": 20.0, "per_worker_ms": 0.1, "valid_ms": 2_500}
    harness = make_harness(workers=4, advice=policy)
    harness.is_allowed = lambda step, worker_id: worker_id == "w0"
    starved_job = "00000000000000aa"
    step = {"cpu_milli": 6_000, "image": "x"}
    harness.submit(starved_job, job_spec({"count": 2, "estimated_ms": 60_000, **step}))
    for number in range(100, 140):
        job_id = f"{number:016x}"
        harness.submit(job_id, job_spec({"count": 1, "estimated_ms": 800, **step}))
        harness.run(400)
    starts_ms = [at_ms for _, _, at_ms in harness.starts_of(f"{starved_job}.0.0.0")]
    assert starts_ms and starts_ms[0] < 4_000
    assert harness.job(starved_job).visible_state is JobState.SUCCEEDED
