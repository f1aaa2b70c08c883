"""Speculative steps, whose tasks may run as several copies."""

from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"


def test_copies_end_when_the_first_one_succeeds(make_harness):
    harness = make_harness(workers=2, hall=lambda number: f"hall-{number}")
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500, "speculative": True}))
    harness.run(200)
    first = next(w for w in harness.workers.values() if w.running)
    first.is_unreachable = True
    harness.run(2_600)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_briefly_suspect_hall_causes_no_copies(make_harness):
    """Guards against copies of all tasks after a single unanswered poll."""
    harness = make_harness(workers=6, hall=lambda number: f"hall-{number // 3}")
    step = {"count": 3, "cpu_milli": 8_000, "estimated_ms": 800, "speculative": True}
    harness.submit(JOB, job_spec(step))
    harness.run(100)
    starts = [harness.starts_of(f"{JOB}.0.0.{index}") for index in range(3)]
    busy = next(w for w in harness.workers.values() if w.running)
    worker = harness.cell.context.workers[busy.worker_id]
    harness.cell.poller.suspect_hall(worker, harness.now)
    assert worker.is_suspect
    harness.cell.context.needs_plan = True
    harness.run(400)
    assert starts == [harness.starts_of(f"{JOB}.0.0.{index}") for index in range(3)]


def test_copy_starts_if_the_worker_is_silent(make_harness):
    harness = make_harness(workers=2, hall=lambda number: f"hall-{number}")
    step = {"count": 1, "cpu_milli": 1_000, "estimated_ms": 800, "speculative": True}
    harness.submit(JOB, job_spec(step))
    harness.run(100)
    ((worker_id, _, _),) = harness.starts_of(f"{JOB}.0.0.0")
    harness.workers[worker_id].is_unreachable = True
    harness.run(1_700)
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 2
