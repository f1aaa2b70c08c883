"""Measured work and objective in the log line of a job's end."""

import pytest

from .heterogeneous_harness import SLOW, HeterogeneousHarness


def ended_line(harness, job_id):
    """Return the fields of the `job_ended` log line of a job."""
    lines = [note.fields for note in harness.notes if note.event == "job_ended"]
    return next(fields for fields in lines if fields["job"] == job_id)


def run_load(slownesses, *, seed=3):
    harness = HeterogeneousHarness(seed=seed, slownesses=slownesses)
    harness.load(8_000.0, small=133.0, batch=700.0)
    sent = harness.load(12_000.0, small=133.0, batch=700.0)
    harness.run(15_000.0)
    return harness, sent


@pytest.mark.parametrize("slownesses", [(1.0,), (SLOW, SLOW, 1.0 / 1.7)])
def test_logged_lateness_agrees_with_callers(slownesses):
    """The logged objective must agree with callers' on heterogeneous workers too."""
    harness, sent = run_load(slownesses)
    logged_late, late = 0, 0
    for job_id in sent:
        job = harness.job(job_id)
        line = ended_line(harness, job_id)
        logged_late += line["after_ms"] > line["measured_objective_ms"]
        late += job.ended_ms > harness.objectives_ms[job_id]
    assert abs(logged_late - late) <= 0.05 * len(sent)


def test_long_tail_is_not_counted_as_work():
    harness, sent = run_load((1.0,))
    batch = [job_id for job_id in sent if harness.job(job_id).queue_name == "batch"]
    for job_id in batch:
        worked_ms = [task.worked_ms for task in harness.job(job_id).steps[0].tasks]
        assert ended_line(harness, job_id)["worked_ms"] <= sorted(worked_ms)[-2] + 1
