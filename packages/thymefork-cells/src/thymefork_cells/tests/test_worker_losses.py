"""Log lines about workers that are lost while they run tasks."""

from thymefork_cells.effects import Outcome

from .harness import job_spec

JOB, OTHER_JOB = "00000000000000aa", "00000000000000bb"


def loss_log_lines(harness):
    return [note.fields for note in harness.notes if note.event == "runs_lost"]


def test_each_job_on_a_lost_worker_is_logged(make_harness):
    harness = make_harness(workers=2, hall=lambda number: f"hall-{number}")
    for worker in harness.workers.values():
        worker.work_ms = 20_000.0
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 2_000}))
    harness.submit(OTHER_JOB, job_spec({"count": 1, "cpu_milli": 2_000}))
    harness.run(400)
    assert harness.replies[JOB].outcome is Outcome.ACCEPTED
    crashed = next(worker for worker in harness.workers.values() if worker.running)
    harness.crash(crashed)
    harness.run(4_000)
    lines = {line["job"]: line for line in loss_log_lines(harness)}
    assert set(lines) == {JOB, OTHER_JOB}
    assert lines[JOB]["worker"] == crashed.worker_id
    assert lines[JOB]["runs"] == [f"{JOB}.0.0.0/1", f"{JOB}.0.0.1/1"]
    assert lines[JOB]["other_jobs"] == 1
    assert not lines[JOB]["was_leaving"]
    assert 300 < lines[JOB]["after_ms"] < 1_500
    assert sum(harness.counts[reason] for reason in ("life_over", "lease_over")) == 1


def test_log_distinguishes_leaving_from_crashing_worker(make_harness):
    harness = make_harness(workers=2, hall=lambda number: f"hall-{number}")
    for worker in harness.workers.values():
        worker.work_ms = 20_000.0
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 2_000}))
    harness.run(400)
    leaving = next(worker for worker in harness.workers.values() if worker.running)
    entries = harness.entries
    harness.load_worker_list(
        [row for row in entries if row.worker_id != leaving.worker_id]
    )
    harness.run(1_000)  # it still answers, though its entry is gone
    leaving.is_unreachable = True
    harness.run(5_000)
    assert [line["was_leaving"] for line in loss_log_lines(harness)] == [True]


def test_log_distinguishes_copies_from_first_starts(make_harness):
    harness = make_harness(workers=3, hall=lambda number: f"hall-{number}")
    for worker in harness.workers.values():
        worker.work_ms = 20_000.0
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500, "speculative": True}))
    harness.run(200)
    next(
        worker for worker in harness.workers.values() if worker.running
    ).is_unreachable = True
    harness.run(1_500)
    starts = [note.fields for note in harness.notes if note.event == "tasks_start"]
    assert [line["copies"] for line in starts][:2] == [0, 1]
