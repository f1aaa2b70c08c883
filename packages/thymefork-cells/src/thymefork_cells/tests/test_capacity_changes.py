"""Workers whose capacity shrinks and grows while they run tasks."""

import random

import pytest
from attrs import evolve

from thymefork_cells.effects import StartRun
from thymefork_cells.state import JobState, RunState

from .harness import SHRINK_KNOWN_MS, Harness, job_spec

JOB = "00000000000000aa"
NEXT = "00000000000000bb"


def resize_all(harness, cpu_milli):
    for entry in list(harness.entries):
        harness.resize(entry.worker_id, cpu_milli)


def submit_many(harness, count, first=100, **step):
    for number in range(first, first + count):
        harness.submit(f"{number:016x}", job_spec({"count": 1, **step}))


def test_shrunk_worker_is_not_overcommitted(make_harness):
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 3_000.0
    submit_many(harness, 16, cpu_milli=1_000)
    harness.run(500)
    resize_all(harness, 2_000)
    for number in range(30):
        submit_many(harness, 2, first=200 + 2 * number, cpu_milli=1_000)
        harness.run(500)
    assert not harness.violations
    assert all(harness.cpu_used(w) <= 2_000 for w in harness.workers.values())


def test_grown_worker_is_used_at_once(make_harness):
    harness = make_harness(workers=2)
    resize_all(harness, 1_000)
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 4_000}))
    harness.run(3_000)
    assert not harness.running()
    resize_all(harness, 8_000)
    harness.run(1_200)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_worker_without_capacity_gets_no_tasks(make_harness):
    harness = make_harness(workers=2)
    resize_all(harness, 0)
    submit_many(harness, 3, cpu_milli=500)
    harness.run(3_000)
    assert not harness.running()
    harness.resize("w1", 8_000)
    harness.run(2_000)
    assert not harness.violations
    assert all(job.state is JobState.SUCCEEDED for job in _jobs(harness))


@pytest.mark.parametrize("state", [RunState.INTENDED, RunState.SENT, RunState.LIVE])
def test_runs_of_each_state_count_after_shrinking(make_harness, state):
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 5_000.0
    harness.is_start_answer_lost = lambda effect: state is RunState.SENT
    submit_many(harness, 8, cpu_milli=1_000)
    harness.run({RunState.INTENDED: 8, RunState.SENT: 40, RunState.LIVE: 300}[state])
    harness.resize("w0", 4_000)
    submit_many(harness, 8, first=200, cpu_milli=1_000)
    harness.run(SHRINK_KNOWN_MS + 500)
    harness.is_start_answer_lost = lambda effect: False
    harness.run(30_000)
    assert not harness.violations
    assert all(job.state is JobState.SUCCEEDED for job in _jobs(harness))


def test_intended_start_is_dropped_if_it_no_longer_fits(make_harness):
    harness = make_harness(workers=1)
    submit_many(harness, 8, cpu_milli=1_000)
    while not harness.runs_of("w0"):
        harness.run(1)
    assert {run.state for run in harness.runs_of("w0").values()} == {RunState.INTENDED}
    harness.resize("w0", 3_000)
    harness.run(300)
    assert len(harness.running()) == 3


def test_stopping_runs_still_count(make_harness):
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 30_000.0
    harness.workers["w0"].ignored_stops = 40  # answered, and not carried out
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(300)
    harness.resize("w0", 4_000)
    harness.cell.intake.cancel("c", JOB, now_ms=harness.now)
    submit_many(harness, 4, cpu_milli=2_000)
    harness.run(SHRINK_KNOWN_MS + 2_000)
    assert not harness.violations


def test_runs_of_previous_owner_count_after_shrinking(make_harness):
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 6_000.0
    submit_many(harness, 16, cpu_milli=1_000)
    harness.run(300)
    harness.is_owner_down = True
    resize_all(harness, 3_000)
    harness.run(500)
    harness.take_over()
    submit_many(harness, 8, first=200, cpu_milli=1_000)
    harness.run(20_000)
    assert not harness.violations
    assert all(job.state is JobState.SUCCEEDED for job in _jobs(harness))


def test_gang_waits_until_all_tasks_fit(make_harness):
    harness = make_harness(workers=3)
    harness.submit(JOB, job_spec({"count": 6, "cpu_milli": 4_000, "gang": True}))
    while not harness.cell.context.jobs[JOB].runs:
        harness.run(1)
    harness.resize("w1", 4_000)
    harness.run(6_000)
    assert not harness.violations
    assert harness.job(JOB).state is JobState.RUNNING
    harness.resize("w1", 8_000)
    harness.run(6_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_large_task_runs_on_worker_that_did_not_shrink(make_harness):
    harness = make_harness(workers=2)
    harness.resize("w0", 2_000)
    harness.submit(JOB, job_spec({"count": 3, "cpu_milli": 5_000}))
    harness.run(5_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert {worker for worker, _, _ in harness.starts_of(f"{JOB}.0.0.0")} == {"w1"}


def test_capacity_change_is_logged(make_harness):
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 5_000.0
    submit_many(harness, 8, cpu_milli=1_000)
    harness.run(300)
    harness.resize("w0", 3_000)
    harness.run(10)
    (line,) = [n.fields for n in harness.notes if n.event == "worker_room_changed"]
    assert line["cpu_milli"] == 3_000
    assert line["was_cpu_milli"] == 8_000
    assert line["held_cpu_milli"] == 8_000


def test_worker_with_lapsed_entry_gets_no_tasks(make_harness):
    """Guards against overcommitting a worker by an outdated entry."""
    harness = make_harness(workers=2)
    harness.workers["w0"].work_ms = 3_000.0
    entries = harness.entries
    harness.load_worker_list(
        [evolve(one, is_lapsed=one.worker_id == "w0") for one in entries]
    )
    submit_many(harness, 4, cpu_milli=500)
    harness.run(300)
    assert not harness.workers["w0"].running
    assert len(harness.workers["w1"].running) == 4
    harness.load_worker_list(entries)
    harness.submit(JOB, job_spec({"count": 16, "cpu_milli": 900}))
    harness.run(300)
    assert harness.workers["w0"].running


def test_nothing_starts_by_stale_worker_list(harness):
    """Guards against starts by a worker list from before an outage or a pause."""
    harness.cell.context.worker_list_as_of_ms = harness.now
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    harness.run(1_500)
    harness.submit(NEXT, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_000)
    assert not harness.starts_of(f"{NEXT}.0.0.0")
    harness.cell.context.worker_list_as_of_ms = harness.now
    harness.run(1_500)
    assert harness.job(NEXT).visible_state is JobState.SUCCEEDED


def test_start_from_before_a_pause_is_decided_again(harness):
    harness.cell.context.worker_list_as_of_ms = harness.now
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(8)
    (run,) = harness.job(JOB).runs
    assert not harness.cell.commands.may_start(run, harness.now + 5_000)
    assert not harness.job(JOB).runs
    harness.run(1_500)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


@pytest.mark.parametrize("seed", range(12))
def test_jobs_succeed_while_capacity_keeps_changing(seed):
    """Changing capacity combined with unanswered starts and takeovers."""
    rng = random.Random(seed)
    harness = Harness(workers=6, hall=lambda number: f"hall-{number % 3}")
    harness.take_over()
    harness.run(50)
    kinds = (
        {"count": 3, "cpu_milli": 900},
        {"count": 4, "cpu_milli": 1_500, "gang": True},
        {"count": 2, "cpu_milli": 2_500, "speculative": True},
    )
    harness.is_start_answer_lost = lambda effect: (
        isinstance(effect, StartRun) and rng.random() < 0.05
    )
    for number in range(60):
        harness.submit(f"{number:016x}", job_spec(rng.choice(kinds)))
        for entry in rng.sample(harness.entries, 2):
            harness.resize(entry.worker_id, rng.choice((0, 2_000, 4_000, 8_000)))
        if rng.random() < 0.1:
            harness.is_owner_down = True
            harness.run(300)
            harness.take_over()
        harness.run(500)
    resize_all(harness, 8_000)
    harness.run(40_000)
    assert not harness.violations
    assert all(job.state is JobState.SUCCEEDED for job in _jobs(harness))


def _jobs(harness):
    return harness.cell.context.jobs.values()


def test_start_is_not_sent_to_worker_with_lapsed_entry(make_harness):
    """Guards against sending a start decided in a store outage.

    The worker's entry lapses before the append is answered, so that its capacity is
    unknown.
    """
    harness = make_harness(workers=2)
    first = {"count": 1, "cpu_milli": 500, "estimated_ms": 800}
    harness.submit("c" * 16, job_spec(first, {**first, "after": (0,)}))
    harness.run(100)
    harness.store_down = True
    harness.run(2_000)
    entries = harness.entries
    harness.load_worker_list([evolve(entry, is_lapsed=True) for entry in entries])
    harness.store_down = False
    harness.run(500)
    assert not harness.starts_of(f"{'c' * 16}.0.1.0")
    harness.load_worker_list(entries)
    harness.run(1_000)
    assert len(harness.starts_of(f"{'c' * 16}.0.1.0")) == 1
