"""A third of the callers cancel what they sent, within seconds, while workers are full.

What a caller no longer wants must not hold up the others: its room is free as soon as
its runs can be stopped, nothing of it is started or asked about, and what is left is
done sooner than if all had stayed.
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
LEAVERS = JOBS // 3
LEAVE_FROM_MS = 600
LEAVE_FOR_MS = 3_000
WORK_MS = 1_500.0
# A stop is decided in a turn of 5 ms, takes 3 ms and is seen by the next look.
FREED_MS = 40
ADVICE = {"decision_ms": 200, "per_worker_ms": 5, "valid_ms": 2_500}
LEAVES, STAYS = "00000000000000aa", "00000000000000bb"
SLOW_APPEND_MS = 300.0


def id_of(number):
    return f"{number:016x}"


def fill(harness):
    """Hand in four times what the workers hold."""
    for worker in harness.workers.values():
        worker.work_ms = WORK_MS
    for number in range(JOBS):
        harness.submit(id_of(number), job_spec({"count": 3, "cpu_milli": 2_000}))
        harness.run(2)


def leave(harness, rng, leavers):
    """Let the callers leave, spread over some seconds; return when each did."""
    left_ms = {}
    for job_id in leavers:
        harness.run(rng.uniform(0, 2 * LEAVE_FOR_MS / len(leavers)))
        harness.cell.intake.cancel(job_id, job_id, now_ms=harness.now)
        if harness.job(job_id).state is JobState.CANCELLED:
            left_ms[job_id] = harness.now
    return left_ms


def end_of(harness, job_id):
    return harness.job(job_id).ended_ms


def play(make_harness, seed, *, leavers=LEAVERS):
    """Return a harness after the load, who stayed and when the others left."""
    rng = random.Random(seed)
    harness = make_harness(workers=10)
    fill(harness)
    harness.run(LEAVE_FROM_MS)
    leaving = rng.sample([id_of(number) for number in range(JOBS)], LEAVERS)
    left_ms = leave(harness, rng, leaving) if leavers else {}
    harness.run(40_000 - harness.now)
    stayed = [id_of(n) for n in range(JOBS) if id_of(n) not in leaving]
    return harness, stayed, left_ms


@pytest.mark.parametrize("seed", range(3))
def test_the_others_are_done_sooner(make_harness, seed):
    without, stayed, _ = play(make_harness, seed, leavers=0)
    harness, _, left_ms = play(make_harness, seed)
    assert len(left_ms) >= LEAVERS // 2
    assert all(harness.job(j).visible_state is JobState.SUCCEEDED for j in stayed)
    times = median(end_of(harness, job_id) for job_id in stayed)
    assert times < 0.85 * median(end_of(without, job_id) for job_id in stayed)


@pytest.mark.parametrize("seed", range(3))
def test_nothing_of_a_cancelled_job_is_started(make_harness, seed):
    harness, _, left_ms = play(make_harness, seed)
    late = [
        (task, at_ms - left_ms[task.split(".")[0]])
        for worker in harness.workers.values()
        for task, _, at_ms in worker.starts
        if at_ms > left_ms.get(task.split(".")[0], float("inf"))
    ]
    # A start that had left before takes 3 ms.
    assert all(after_ms <= 3.0 for _, after_ms in late)
    assert not harness.cell.context.pending_stops


@pytest.mark.parametrize("append_latency_ms", [10.0, SLOW_APPEND_MS])
def test_room_of_a_cancelled_job_is_free_soon(
    make_harness, monkeypatch, append_latency_ms
):
    monkeypatch.setattr(harness_module, "APPEND_MS", append_latency_ms)
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 60_000.0
    harness.submit(LEAVES, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(3 * append_latency_ms + 50)
    assert len(harness.running()) == 4
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    harness.run(FREED_MS)
    assert not harness.running()
    assert not harness.runs_of("w0")


def test_room_kept_for_a_start_that_is_being_stored_is_free_at_once(
    make_harness, monkeypatch
):
    """While the store is slow an intent holds its room for the whole append."""
    monkeypatch.setattr(harness_module, "APPEND_MS", SLOW_APPEND_MS)
    harness = make_harness(workers=1)
    harness.submit(LEAVES, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(SLOW_APPEND_MS / 3)
    assert [run.state for run in harness.job(LEAVES).runs] == [RunState.INTENDED] * 4
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    assert not harness.runs_of("w0")
    harness.run(5 * SLOW_APPEND_MS)
    assert not harness.starts_of(f"{LEAVES}.0.0.0")
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    assert harness.job(LEAVES).is_over


def test_no_call_for_advice_is_made_for_who_has_left(make_harness):
    harness = make_harness(workers=4, advice=ADVICE, advisers=1)
    ids = [id_of(number) for number in range(12)]
    for job_id in ids:
        harness.submit(job_id, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(250)  # the first call is under way
    asked = len(harness.asked)
    for job_id in ids[1:-1]:
        harness.cell.intake.cancel(job_id, job_id, now_ms=harness.now)
    harness.run(5_000)
    steps = {step.split(".")[0] for step, _ in harness.asked[asked:]}
    assert not steps & set(ids[1:-1])
    assert harness.job(ids[-1]).visible_state is JobState.SUCCEEDED


def test_workers_kept_for_a_step_are_given_back_in_the_next_turn(make_harness):
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 5_000.0
    harness.submit(id_of(1), job_spec({"count": 8, "cpu_milli": 2_000}))
    harness.run(50)
    gang = {"count": 2, "cpu_milli": 8_000, "gang": True, "estimated_ms": 400}
    harness.submit(LEAVES, job_spec(gang))
    harness.run(2_600)
    assert harness.cell.placer._reservations._by_step
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    harness.run(6)
    assert not harness.cell.placer._reservations._by_step


def test_live_work_does_not_make_way_beside_room_that_comes_free(make_harness):
    """Of a worker whose runs are being stopped only one task's room was counted."""
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 20_000.0
    for job_id in (LEAVES, STAYS):
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
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    harness.run(300)
    harness.is_command_lost = lambda effect: False
    harness.run(600)
    assert harness.counts["made_way"] == 0
    assert len(harness.job(urgent).runs) == 4


def start_batch(harness, job_id, *, tasks=4, cpu_milli=2_000, **fields):
    """Fill a worker with lasting work; return when all of it is at work."""
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    step = {"count": tasks, "cpu_milli": cpu_milli, "long_running": True, **fields}
    harness.submit(job_id, job_spec(step), queue="batch")
    harness.run(60)
    assert len(harness.job(job_id).runs) == tasks


def stops_of(harness, now_ms):
    """Return the jobs of the stops that a turn sends, in their order."""
    harness.cell.take_effects()
    harness.cell.commands.send_stops(now_ms)
    effects = harness.cell.take_effects()
    stops = [effect.run for effect in effects if isinstance(effect, fx.StopRun)]
    return [run.task.step.job.job_id for run in stops]


def test_stops_of_cancelled_jobs_leave_first_those_that_free_most_before(make_harness):
    harness = make_harness(workers=3)
    other, small, large = id_of(1), id_of(2), id_of(3)
    start_batch(harness, other, tasks=2, cpu_milli=1_000)
    start_batch(harness, small, tasks=2, cpu_milli=500)
    start_batch(harness, large, tasks=2, cpu_milli=6_000)
    waits = job_spec({"count": 4, "cpu_milli": 7_500, "estimated_ms": 800})
    harness.submit(id_of(4), waits)
    harness.run(20)
    for run in harness.job(other).runs:
        harness.cell.lifecycle.stop(run, "a copy was first", now_ms=harness.now)
    for job_id in (small, large):
        harness.cell.intake.cancel(job_id, job_id, now_ms=harness.now)
    order = stops_of(harness, harness.now)
    assert order == [large, large, small, small, other, other]


def test_without_cancelled_jobs_stops_leave_as_they_became_due(make_harness):
    harness = make_harness(workers=3)
    for number in (1, 2):
        start_batch(harness, id_of(number), tasks=2, cpu_milli=500 * number)
    runs = [run for number in (1, 2) for run in harness.job(id_of(number)).runs]
    for run in runs:
        harness.cell.lifecycle.stop(run, "it is not wanted", now_ms=harness.now)
    order = stops_of(harness, harness.now)
    assert order == [run.task.step.job.job_id for run in runs]


# One thing fails beside -----------------------------------------------------

GONE_MS = 1_500  # a takeover's turn, a look and a stop


def test_a_new_owner_stops_what_was_cancelled_before_its_time(make_harness):
    """The cancelling was stored; the order to stop was lost with the owner."""
    harness = make_harness(workers=2)
    start_batch(harness, LEAVES)
    harness.is_stop_dropped = lambda effect: isinstance(effect, fx.StopRun)
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    harness.run(30)
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    harness.is_stop_dropped = lambda effect: False
    assert len(harness.running()) == 4
    harness.take_over()
    harness.run(GONE_MS)
    assert not harness.running()
    assert harness.job(LEAVES).visible_state is JobState.CANCELLED


def test_a_cancelling_that_was_not_stored_leaves_a_job_that_runs(make_harness):
    """Its caller had no answer; the job is the next owner's, with all its tasks."""
    harness = make_harness(workers=2)
    start_batch(harness, LEAVES)
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    harness.run(7)  # the stops have left, the append is under way
    harness.is_owner_down = True
    harness.run(20)
    assert "cancel" not in harness.replies
    harness.take_over()
    harness.run(GONE_MS + 3_000)
    assert harness.job(LEAVES).is_live
    assert len(harness.running()) == 4
    harness.cell.intake.cancel("again", LEAVES, now_ms=harness.now)
    harness.run(GONE_MS)
    assert harness.replies["again"].outcome is Outcome.CANCELLED
    assert not harness.running()


@pytest.mark.parametrize("dies_after_ms", [0, 5, 12, 20])
def test_a_start_that_was_being_stored_is_never_sent_by_any_owner(
    make_harness, monkeypatch, dies_after_ms
):
    """The intent may be stored; the cancelling, once answered, outlasts its owner."""
    harness = make_harness(workers=2)
    monkeypatch.setattr(harness_module, "APPEND_MS", 40.0)
    harness.submit(LEAVES, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(20)
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    harness.run(80 + dies_after_ms)
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED
    harness.is_owner_down = True
    harness.run(30)
    harness.take_over()
    harness.run(2_000)
    assert not any(worker.starts for worker in harness.workers.values())
    assert not any(harness.runs_of(worker_id) for worker_id in harness.workers)


def test_a_stop_that_is_lost_is_sent_again(make_harness):
    harness = make_harness(workers=2)
    start_batch(harness, LEAVES)
    lost = []

    def is_command_lost(effect):
        if not isinstance(effect, fx.StopRun) or len(lost) == 4:
            return False
        lost.append(effect)
        return True

    harness.is_command_lost = is_command_lost
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    harness.run(GONE_MS)
    assert len(lost) == 4
    assert not harness.running()
    assert not any(harness.runs_of(worker_id) for worker_id in harness.workers)


def test_a_worker_out_of_reach_holds_up_only_its_own_room(make_harness):
    harness = make_harness(workers=2)
    start_batch(harness, LEAVES, tasks=8)
    away = harness.workers["w0"]
    away.is_unreachable = True
    harness.cell.intake.cancel("cancel", LEAVES, now_ms=harness.now)
    harness.run(FREED_MS)
    assert not harness.runs_of("w1")
    assert harness.runs_of("w0")  # they may go on there until their lease is over
    harness.workers["w1"].work_ms = 300.0
    harness.submit(STAYS, job_spec({"count": 4, "cpu_milli": 2_000}))
    harness.run(1_000)
    assert harness.job(STAYS).visible_state is JobState.SUCCEEDED
    harness.run(4_000)
    away.advance(harness.now)
    assert not away.running
    assert not harness.runs_of("w0")
    assert not harness.cell.context.pending_stops


def test_a_job_given_up_before_any_append_held_it_leaves_nothing(
    make_harness, monkeypatch
):
    monkeypatch.setattr(harness_module, "APPEND_MS", SLOW_APPEND_MS)
    harness = make_harness(workers=1)
    harness.submit(STAYS, job_spec({"count": 1, "cpu_milli": 2_000}))
    harness.run(20)
    harness.submit(LEAVES, job_spec({"count": 3, "cpu_milli": 2_000}))
    harness.run(20)
    assert len(harness.runs_of("w0")) == 4
    for job_id in (STAYS, LEAVES):  # the first is in the append under way
        harness.cell.intake.abandon(job_id, now_ms=harness.now)
    assert len(harness.runs_of("w0")) == 1
    harness.run(10 * SLOW_APPEND_MS)
    assert harness.replies[LEAVES].outcome is Outcome.REFUSED
    assert not harness.starts_of(f"{LEAVES}.0.0.0")
    assert not any(LEAVES in key for key in harness.store)
    assert harness.job(STAYS).visible_state is JobState.SUCCEEDED
