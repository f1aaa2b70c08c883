"""Log lines that tell why a step waits beside workers with room."""

from .harness import job_spec
from .test_standstills import ADVICE

LASTING, WAITING = "a" * 16, "b" * 16


def last_wait(harness, job_id):
    """Return the fields of the last line about a waiting step of a job."""
    lines = [note.fields for note in harness.notes if note.event == "step_waits"]
    return [line for line in lines if line["job"] == job_id][-1]


def pause_all(harness, for_ms):
    for worker in harness.cell.context.workers.values():
        worker.health.paused_until_ms = harness.now + for_ms


def test_wait_log_names_paused_workers(make_harness):
    harness = make_harness(workers=3)
    pause_all(harness, 10_000.0)
    harness.submit(WAITING, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_500)
    line = last_wait(harness, WAITING)
    assert line["excluded"] == {"paused": 3}
    assert line["job_runs"] == 0
    assert line["idle_ms"] >= 2_000
    assert harness.counts["paused"] >= 1


def test_wait_log_names_small_isolated_and_full_workers(make_harness):
    harness = make_harness(workers=3, cpu_milli=4_000)
    for worker in harness.workers.values():
        worker.work_ms = 1e9
    harness.submit(LASTING, job_spec({"count": 3, "cpu_milli": 3_000}))
    harness.run(300)
    harness.resize(sorted(harness.workers)[0], 1_000)
    harness.submit(WAITING, job_spec({"count": 1, "cpu_milli": 2_000}))
    harness.run(2_500)
    assert last_wait(harness, WAITING)["excluded"] == {"too_small": 1, "no_room": 2}


# No tickets are asked for there, so all seemed to lack only a ticket.
def test_wait_log_names_workers_that_are_not_listed(make_harness):
    harness = make_harness(workers=3, advice=ADVICE)
    harness.is_allowed = lambda step, worker_id: False
    harness.load_worker_list(harness.entries[:1])
    harness.submit(WAITING, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_500)
    line = last_wait(harness, WAITING)
    assert line["excluded"] == {"no_ticket": 1, "unlisted": 2}


def test_reasons_are_looked_up_for_few_steps_at_once(make_harness):
    """Guards against logs whose cost grows with waiting steps times workers."""
    harness = make_harness(workers=3)
    pause_all(harness, 10_000.0)
    for number in range(40):
        harness.submit(f"{number:016x}", job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_600)
    lines = [note.fields for note in harness.notes if note.event == "step_waits"]
    assert len(lines) == 40
    assert 1 <= sum("excluded" in line for line in lines) <= 3


def test_start_log_tells_how_long_a_task_had_no_run(make_harness):
    harness = make_harness(workers=3)
    pause_all(harness, 1_200.0)
    harness.submit(WAITING, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_000)
    (line,) = (note.fields for note in harness.notes if note.event == "tasks_start")
    assert 1_000 < line["idle_ms"] < 1_400
