"""Jobs from submission to their end."""

from thymefork_cells.effects import Outcome
from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"


def test_job_is_accepted_only_once_stored(harness):
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500}))
    harness.run(9)
    assert JOB not in harness.replies
    harness.run(20)
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
    assert f"j{JOB}" in harness.store


def test_steps_run_in_order_and_the_job_succeeds(harness):
    spec = job_spec(
        {"count": 3, "cpu_milli": 500}, {"count": 2, "cpu_milli": 500, "after": (0,)}
    )
    harness.submit(JOB, spec)
    harness.run(3_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    first_ends_ms = (
        max(harness.starts_of(f"{JOB}.0.0.{n}")[0][2] for n in range(3)) + 800
    )
    for index in range(2):
        assert harness.starts_of(f"{JOB}.0.1.{index}")[0][2] >= first_ends_ms


def test_repeated_submission_starts_one_job(harness):
    spec = job_spec({"count": 1, "cpu_milli": 500})
    harness.submit(JOB, spec)
    harness.submit(JOB, spec)
    harness.run(3_000)
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_worker_never_gets_more_than_its_capacity(make_harness):
    harness = make_harness(workers=1, cpu_milli=1_000)
    harness.submit(JOB, job_spec({"count": 5, "cpu_milli": 400}))
    for _ in range(600):
        harness.run(5)
        assert len(harness.workers["w0"].running) <= 2
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_cancelled_job_stops_its_runs(harness):
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500, "long_running": True}))
    harness.run(500)
    harness.cell.intake.cancel("c", JOB, now_ms=harness.now)
    harness.run(300)
    assert harness.replies["c"].outcome is Outcome.CANCELLED
    assert not any(worker.running for worker in harness.workers.values())


def test_job_fails_after_its_last_attempt(make_harness):
    harness = make_harness(workers=3, max_attempts=2)
    for worker in harness.workers.values():
        worker.fails_all = True
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(12_000)
    assert harness.job(JOB).visible_state is JobState.FAILED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 2


def test_retry_uses_another_worker(make_harness):
    harness = make_harness(workers=3)
    harness.workers["w0"].fails_all = True
    for number in range(8):
        harness.submit(f"{number:016x}", job_spec({"count": 2, "cpu_milli": 3_000}))
        harness.run(700)
    harness.run(4_000)
    states = {job.visible_state for job in harness.cell.context.jobs.values()}
    assert states == {JobState.SUCCEEDED}


def test_gang_starts_as_a_whole_or_not_at_all(make_harness):
    harness = make_harness(workers=2, cpu_milli=1_000)
    harness.submit(JOB, job_spec({"count": 3, "cpu_milli": 1_000, "gang": True}))
    harness.run(2_000)
    assert not any(worker.starts for worker in harness.workers.values())
    harness.submit("1" * 16, job_spec({"count": 2, "cpu_milli": 1_000, "gang": True}))
    harness.run(200)
    runs = [start[1] for worker in harness.workers.values() for start in worker.starts]
    assert runs == [1, 1]


def test_required_label_and_limit_per_worker_are_respected(make_harness):
    harness = make_harness(workers=4)
    spec = {"count": 2, "cpu_milli": 100, "required_label": "r-1", "most_per_worker": 1}
    harness.submit(JOB, job_spec(spec))
    harness.run(200)
    used = [worker.worker_id for worker in harness.workers.values() if worker.starts]
    assert used == ["w1", "w3"]


def test_scheduled_job_starts_at_its_times(harness):
    import time

    spec = job_spec(
        {"count": 1, "cpu_milli": 100},
        repeat_count=2,
        first_start_epoch_ms=round(time.time() * 1000) + 1_000,
        interval_ms=1_000,
    )
    harness.submit(JOB, spec)
    begun_ms = harness.now
    harness.run(5_000)
    first = harness.starts_of(f"{JOB}.0.0.0")[0][2] - begun_ms
    second = harness.starts_of(f"{JOB}.1.0.0")[0][2] - begun_ms
    assert 700 <= first <= 1_300
    assert 1_700 <= second <= 2_300


def test_step_is_placed_in_one_hall_if_it_fits(make_harness):
    """Guards against jobs spread over halls, which each hall's outage would delay."""
    harness = make_harness(workers=6, cpu_milli=2_000, hall=lambda n: f"hall-{n % 3}")
    harness.submit("b" * 16, job_spec({"count": 1, "cpu_milli": 1_000}))
    harness.run(100)
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 1_000}))
    harness.run(100)
    halls = {
        int(row[0][1:]) % 3 for n in range(4) for row in starts_of_task(harness, n)
    }
    assert len(halls) == 1


def starts_of_task(harness, index):
    return harness.starts_of(f"{JOB}.0.0.{index}")
