"""Load shedding of an overloaded owner.

It defers polls of idle workers and advice for later steps, never polls of busy workers.
"""

from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"
POLICY = {"decision_ms": 100.0, "per_worker_ms": 1.0, "valid_ms": 2_500.0}
STEP = {"count": 1, "cpu_milli": 500, "estimated_ms": 800}


def two_steps():
    return job_spec(STEP, {**STEP, "after": (0,)})


def test_ends_of_idle_workers_are_acknowledged_after_overload(make_harness):
    harness = make_harness(workers=1)
    context = harness.cell.context
    context.defers_idle_polls = True
    harness.submit(JOB, job_spec(STEP))
    harness.run(3_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    (worker,) = context.workers.values()
    assert worker.stored_end > worker.acknowledged_end
    context.defers_idle_polls = False
    harness.run(500)
    assert worker.stored_end == worker.acknowledged_end


def test_busy_workers_are_polled_and_keep_their_leases(make_harness):
    harness = make_harness(workers=1)
    harness.cell.context.defers_idle_polls = True
    for worker in harness.workers.values():
        worker.work_ms = 10_000  # three leases
    harness.submit(JOB, job_spec(STEP))
    harness.run(12_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_advice_is_requested_only_once_step_is_due(make_harness):
    harness = make_harness(workers=2, advice=POLICY)
    harness.cell.context.defers_early_advice = True
    harness.submit(JOB, two_steps())
    harness.run(4_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    first_ms = harness.starts_of(f"{JOB}.0.0.0")[0][2]
    second_ms = harness.starts_of(f"{JOB}.0.1.0")[0][2]
    assert 800 + 100 <= second_ms - first_ms < 800 + 100 + 300
