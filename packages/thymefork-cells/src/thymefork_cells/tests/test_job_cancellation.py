"""Cancellation of jobs on busy workers.

Guards against cancelled jobs that keep resources or delay other jobs.
"""

import random
from statistics import median

import pytest

from thymefork_cells import effects as fx
from thymefork_cells.effects import Outcome
from thymefork_cells.state import JobState, RunState

from . import harness as harness_module
from .harness import job_spec

JOBS = 180
CANCELLED_COUNT = JOBS // 3
CANCEL_AFTER_MS = 600
MAX_CANCEL_TIME_MS = 3_000
WORK_MS = 1_500.0
# Covers a cycle, a stop command and the next poll.
FREE_WITHIN_MS = 40
ADVICE = {"decision_ms": 200, "per_worker_ms": 5, "valid_ms": 2_500}
CANCELLED_JOB, OTHER_JOB = "00000000000000aa", "00000000000000bb"
SLOW_APPEND_MS = 300.0


def id_of(number):
    return f"{number:016x}"


def submit_load(harness):
    """Submit four times as much as the workers can run."""
    for worker in harness.workers.values():
        worker.work_ms = WORK_MS
    for number in range(JOBS):
        harness.submit(id_of(number), job_spec({"count": 3, "cpu_milli": 2_000}))
        harness.run(2)


def cancel_jobs(harness, rng, job_ids):
    """Cancel jobs, spread over some seconds; return when each was cancelled."""
    cancelled_ms = {}
    for job_id in job_ids:
        harness.run(rng.uniform(0, 2 * MAX_CANCEL_TIME_MS / len(job_ids)))
        harness.cell.intake.cancel(job_id, job_id, now_ms=harness.now)
        if harness.job(job_id).state is JobState.CANCELLED:
            cancelled_ms[job_id] = harness.now
    return cancelled_ms


def end_ms_of(harness, job_id):
    return harness.job(job_id).ended_ms


def run_load(make_harness, seed, *, cancelled_count=CANCELLED_COUNT):
    """Return the harness after the load, the other jobs and the cancellation times."""
    rng = random.Random(seed)
    harness = make_harness(workers=10)
    submit_load(harness)
    harness.run(CANCEL_AFTER_MS)
    cancelled_ids = rng.sample(
        [id_of(number) for number in range(JOBS)], CANCELLED_COUNT
    )
    cancelled_ms = cancel_jobs(harness, rng, cancelled_ids) if cancelled_count else {}
    harness.run(40_000 - harness.now)
    other_ids = [id_of(n) for n in range(JOBS) if id_of(n) not in cancelled_ids]
    return harness, other_ids, cancelled_ms


@pytest.mark.parametrize("seed", range(3))
def test_other_jobs_end_sooner_after_cancellations(make_harness, seed):
    without, other_ids, _ = run_load(make_harness, seed, cancelled_count=0)
    harness, _, cancelled_ms = run_load(make_harness, seed)
    assert len(cancelled_ms) >= CANCELLED_COUNT // 2
    assert all(harness.job(j).visible_state is JobState.SUCCEEDED for j in other_ids)
    times = median(end_ms_of(harness, job_id) for job_id in other_ids)
    assert times < 0.85 * median(end_ms_of(without, job_id) for job_id in other_ids)


@pytest.mark.parametrize("seed", range(3))
def test_cancelled_job_starts_no_more_tasks(make_harness, seed):
    harness, _, cancelled_ms = run_load(make_harness, seed)
    late = [
        (task, at_ms - cancelled_ms[task.split(".")[0]])
        for worker in harness.workers.values()
        for task, _, at_ms in worker.starts
        if at_ms > cancelled_ms.get(task.split(".")[0], float("inf"))
    ]
    # A start that was sent before takes 3 ms.
    assert all(after_ms <= 3.0 for _, after_ms in late)
    assert not harness.cell.context.pending_stops


@pytest.mark.parametrize("append_latency_ms", [10.0, SLOW_APPEND_MS])
def test_resources_of_cancelled_job_are_freed_soon(
    make_harness, monkeypatch, append_latency_ms
):
    monkeypatch.setattr(harness_module, "APPEND_MS", append_latency_ms)
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 60_000.0
    harness.submit(CANCELLED_JOB, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(3 * append_latency_ms + 50)
    assert len(harness.running()) == 4
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    harness.run(FREE_WITHIN_MS)
    assert not harness.running()
    assert not harness.runs_of("w0")


def test_resources_of_unsent_start_are_freed_at_once(make_harness, monkeypatch):
    """Guards against an intent that holds its resources for a whole slow append."""
    monkeypatch.setattr(harness_module, "APPEND_MS", SLOW_APPEND_MS)
    harness = make_harness(workers=1)
    harness.submit(CANCELLED_JOB, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(SLOW_APPEND_MS / 3)
    assert [run.state for run in harness.job(CANCELLED_JOB).runs] == [
        RunState.INTENDED
    ] * 4
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    assert not harness.runs_of("w0")
    harness.run(5 * SLOW_APPEND_MS)
    assert not harness.starts_of(f"{CANCELLED_JOB}.0.0.0")
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    assert harness.job(CANCELLED_JOB).is_over


def test_no_advice_is_requested_for_cancelled_jobs(make_harness):
    harness = make_harness(workers=4, advice=ADVICE, advisers=1)
    ids = [id_of(number) for number in range(12)]
    for job_id in ids:
        harness.submit(job_id, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(250)  # the first call is in flight
    request_count_before = len(harness.advice_requests)
    for job_id in ids[1:-1]:
        harness.cell.intake.cancel(job_id, job_id, now_ms=harness.now)
    harness.run(5_000)
    steps = {
        step.split(".")[0] for step, _ in harness.advice_requests[request_count_before:]
    }
    assert not steps & set(ids[1:-1])
    assert harness.job(ids[-1]).visible_state is JobState.SUCCEEDED


def test_reservation_of_cancelled_job_ends_in_next_cycle(make_harness):
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 5_000.0
    harness.submit(id_of(1), job_spec({"count": 8, "cpu_milli": 2_000}))
    harness.run(50)
    gang = {"count": 2, "cpu_milli": 8_000, "gang": True, "estimated_ms": 400}
    harness.submit(CANCELLED_JOB, job_spec(gang))
    harness.run(2_600)
    assert harness.cell.placer._reservations._by_step
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    harness.run(6)
    assert not harness.cell.placer._reservations._by_step


def test_no_preemption_while_cancelled_runs_free_resources(make_harness):
    """Guards against counting only one stopping run of a worker as free soon."""
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 20_000.0
    for job_id in (CANCELLED_JOB, OTHER_JOB):
        step = {"count": 4, "cpu_milli": 2_000, "checkpoints": True}
        harness.submit(job_id, job_spec({**step, "most_per_worker": 4}), queue="batch")
        harness.run(30)
        harness.job(job_id).objective_ms = harness.now + 90_000
    workers = [w for w in harness.workers.values() if w.running]
    assert len(workers) == 2 and all(len(w.running) == 4 for w in workers)
    harness.run(1_000)
    harness.is_command_lost = lambda effect: isinstance(effect, fx.StopRun)
    urgent = id_of(3)
    harness.submit(
        urgent, job_spec({"count": 4, "cpu_milli": 2_000, "estimated_ms": 800})
    )
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    harness.run(300)
    harness.is_command_lost = lambda effect: False
    harness.run(600)
    assert harness.counts["made_way"] == 0
    assert len(harness.job(urgent).runs) == 4


def start_long_running(harness, job_id, *, tasks=4, cpu_milli=2_000, **fields):
    """Submit a long-running job and wait until all its tasks run."""
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    step = {"count": tasks, "cpu_milli": cpu_milli, "long_running": True, **fields}
    harness.submit(job_id, job_spec(step), queue="batch")
    harness.run(60)
    assert len(harness.job(job_id).runs) == tasks


def stops_of(harness, now_ms):
    """Return the jobs of the stops that one cycle sends, in order."""
    harness.cell.take_effects()
    harness.cell.stops.send_due(now_ms)
    effects = harness.cell.take_effects()
    stops = [effect.run for effect in effects if isinstance(effect, fx.StopRun)]
    return [run.task.step.job.job_id for run in stops]


def test_stops_of_cancelled_jobs_are_sent_first_by_size(make_harness):
    harness = make_harness(workers=3)
    other, small, large = id_of(1), id_of(2), id_of(3)
    start_long_running(harness, other, tasks=2, cpu_milli=1_000)
    start_long_running(harness, small, tasks=2, cpu_milli=500)
    start_long_running(harness, large, tasks=2, cpu_milli=6_000)
    waits = job_spec({"count": 4, "cpu_milli": 7_500, "estimated_ms": 800})
    harness.submit(id_of(4), waits)
    harness.run(20)
    for run in harness.job(other).runs:
        harness.cell.lifecycle.stop(run, "a copy was first", now_ms=harness.now)
    for job_id in (small, large):
        harness.cell.intake.cancel(job_id, job_id, now_ms=harness.now)
    order = stops_of(harness, harness.now)
    assert order == [large, large, small, small, other, other]


def test_other_stops_keep_the_order_they_became_due(make_harness):
    harness = make_harness(workers=3)
    for number in (1, 2):
        start_long_running(harness, id_of(number), tasks=2, cpu_milli=500 * number)
    runs = [run for number in (1, 2) for run in harness.job(id_of(number)).runs]
    for run in runs:
        harness.cell.lifecycle.stop(run, "it is not wanted", now_ms=harness.now)
    order = stops_of(harness, harness.now)
    assert order == [run.task.step.job.job_id for run in runs]


# Cancellation with another fault --------------------------------------------

STOPPED_WITHIN_MS = 1_500  # covers a takeover, a poll and a stop


def test_next_owner_stops_runs_of_cancelled_job(make_harness):
    """The cancellation is stored, but the stop commands are lost with the owner."""
    harness = make_harness(workers=2)
    start_long_running(harness, CANCELLED_JOB)
    harness.is_stop_dropped = lambda effect: isinstance(effect, fx.StopRun)
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    harness.run(30)
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    harness.is_stop_dropped = lambda effect: False
    assert len(harness.running()) == 4
    harness.take_over()
    harness.run(STOPPED_WITHIN_MS)
    assert not harness.running()
    assert harness.job(CANCELLED_JOB).visible_state is JobState.CANCELLED


def test_job_continues_if_its_cancellation_was_not_stored(make_harness):
    """The caller got no reply, so the next owner continues the job."""
    harness = make_harness(workers=2)
    start_long_running(harness, CANCELLED_JOB)
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    harness.run(7)  # the stops are sent, the append is in flight
    harness.is_owner_down = True
    harness.run(20)
    assert "cancel" not in harness.replies
    harness.take_over()
    harness.run(STOPPED_WITHIN_MS + 3_000)
    assert harness.job(CANCELLED_JOB).is_live
    assert len(harness.running()) == 4
    harness.cell.intake.cancel("again", CANCELLED_JOB, now_ms=harness.now)
    harness.run(STOPPED_WITHIN_MS)
    assert harness.replies["again"].outcome is Outcome.CANCELLED
    assert not harness.running()


@pytest.mark.parametrize("dies_after_ms", [0, 5, 12, 20])
def test_cancelled_start_is_sent_by_no_owner(make_harness, monkeypatch, dies_after_ms):
    """Guards against a stored intent that is started after a takeover."""
    harness = make_harness(workers=2)
    monkeypatch.setattr(harness_module, "APPEND_MS", 40.0)
    harness.submit(CANCELLED_JOB, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(20)
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    harness.run(80 + dies_after_ms)
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    harness.is_owner_down = True
    harness.run(30)
    harness.take_over()
    harness.run(2_000)
    assert not any(worker.starts for worker in harness.workers.values())
    assert not any(harness.runs_of(worker_id) for worker_id in harness.workers)


def test_lost_stop_is_sent_again(make_harness):
    harness = make_harness(workers=2)
    start_long_running(harness, CANCELLED_JOB)
    lost = []

    def is_command_lost(effect):
        if not isinstance(effect, fx.StopRun) or len(lost) == 4:
            return False
        lost.append(effect)
        return True

    harness.is_command_lost = is_command_lost
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    harness.run(STOPPED_WITHIN_MS)
    assert len(lost) == 4
    assert not harness.running()
    assert not any(harness.runs_of(worker_id) for worker_id in harness.workers)


def test_unreachable_worker_blocks_only_its_own_resources(make_harness):
    harness = make_harness(workers=2)
    start_long_running(harness, CANCELLED_JOB, tasks=8)
    away = harness.workers["w0"]
    away.is_unreachable = True
    harness.cell.intake.cancel("cancel", CANCELLED_JOB, now_ms=harness.now)
    harness.run(FREE_WITHIN_MS)
    assert not harness.runs_of("w1")
    assert harness.runs_of("w0")  # they may run there until their lease expires
    harness.workers["w1"].work_ms = 300.0
    harness.submit(OTHER_JOB, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(1_000)
    assert harness.job(OTHER_JOB).visible_state is JobState.SUCCEEDED
    harness.run(4_000)
    away.advance(harness.now)
    assert not away.running
    assert not harness.runs_of("w0")
    assert not harness.cell.context.pending_stops


def test_job_abandoned_before_its_append_leaves_no_trace(make_harness, monkeypatch):
    monkeypatch.setattr(harness_module, "APPEND_MS", SLOW_APPEND_MS)
    harness = make_harness(workers=1)
    harness.run(2 * SLOW_APPEND_MS)  # the worker's record is stored
    harness.submit(OTHER_JOB, job_spec({"count": 1, "cpu_milli": 2_000}))
    harness.run(20)
    harness.submit(CANCELLED_JOB, job_spec({"count": 3, "cpu_milli": 2_000}))
    harness.run(20)
    assert len(harness.runs_of("w0")) == 4
    for job_id in (OTHER_JOB, CANCELLED_JOB):  # the first is in the append in flight
        harness.cell.intake.abandon(job_id, now_ms=harness.now)
    assert len(harness.runs_of("w0")) == 1
    harness.run(10 * SLOW_APPEND_MS)
    assert harness.replies[CANCELLED_JOB].outcome is Outcome.REFUSED
    assert not harness.starts_of(f"{CANCELLED_JOB}.0.0.0")
    assert not any(CANCELLED_JOB in key for key in harness.store)
    assert harness.job(OTHER_JOB).visible_state is JobState.SUCCEEDED
