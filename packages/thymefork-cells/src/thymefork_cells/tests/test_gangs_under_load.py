"""Gangs under a slow owner and with failing starts.

Guards against members that wait for the others until they time out.
"""

import random

import pytest

from thymefork_cells import Refusal
from thymefork_cells.effects import StartRun, StopRun
from thymefork_cells.specs import Bounds
from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"
BOUNDS = Bounds(gang_wait_ms=4_000.0, stop_timeout_ms=900.0)
REFUSALS = (Refusal.LATE, Refusal.UNWELL, Refusal.NO_ROOM, Refusal.OLD_RUN)
# Time after the first start within which an incomplete gang begins again.
RESTART_BOUND_MS = 4_000.0


def with_gangs(make_harness, *, workers=8, bounds=BOUNDS):
    harness = make_harness(workers=workers, max_attempts=20)
    harness.simulate_gangs(bounds=bounds)
    for worker in harness.workers.values():
        worker.stop_duration_ms = bounds.stop_timeout_ms
    return harness


def gang(count, **fields):
    return job_spec({"count": count, "cpu_milli": 4_000, "gang": True, **fields})


def only_first(kind, index, answer):
    """Return a hook that applies to the first effect of a kind for a task index."""
    matched = []

    def apply_once(effect):
        name = effect.run.key[0] if isinstance(effect, kind) else ""
        if matched or not name.endswith(f".{index}"):
            return None
        matched.append(name)
        return answer

    return apply_once


def assert_gangs_succeed(harness, jobs=(JOB,)):
    """Run on and check that all gangs succeed and no member timed out waiting."""
    harness.run(30_000)
    assert not harness.gangs.incomplete_gangs
    for job_id in jobs:
        assert harness.job(job_id).visible_state is JobState.SUCCEEDED, job_id


# One member is missing -------------------------------------------------------------


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("estimated_ms", [500, 300_000])
def test_refused_member_keeps_no_other_waiting(make_harness, refusal, estimated_ms):
    """Long tasks may stall longer before they are stopped."""
    harness = with_gangs(make_harness)
    harness.refusal_for = only_first(StartRun, 2, refusal)
    harness.submit(JOB, gang(4, estimated_ms=estimated_ms))
    harness.run(RESTART_BOUND_MS)
    assert harness.gangs.started_gangs
    assert_gangs_succeed(harness)


def test_refused_long_running_member_keeps_no_other_waiting(make_harness):
    harness = with_gangs(make_harness)
    for worker in harness.workers.values():
        worker.work_ms = 1e9
    harness.refusal_for = only_first(StartRun, 1, Refusal.UNWELL)
    harness.submit(JOB, gang(4, long_running=True))
    harness.run(20_000)
    assert not harness.gangs.incomplete_gangs
    assert len(harness.running()) == 4


@pytest.mark.parametrize("command_delay_ms", [400.0, 1_000.0, 2_500.0, 6_000.0])
def test_delayed_start_keeps_no_member_waiting(make_harness, command_delay_ms):
    harness = with_gangs(make_harness)
    apply_once = only_first(StartRun, 0, command_delay_ms)
    harness.command_delay_ms = lambda effect: apply_once(effect) or 0.0
    harness.submit(JOB, gang(4, estimated_ms=300_000))
    assert_gangs_succeed(harness)


@pytest.mark.parametrize("cause", ["list", "worker"])
def test_partially_started_gang_is_stopped(make_harness, cause):
    """A precondition of the starts ends between the first and the last."""
    harness = with_gangs(make_harness)
    left = []
    may_start = harness.cell.commands.may_start

    def change_midway(run, now_ms):
        if len(left) == 2 and cause == "list":
            harness.cell.context.worker_list_as_of_ms = now_ms - 4_000.0
        if len(left) == 2 and cause == "worker":
            run.worker.is_over = True
        may = may_start(run, now_ms)
        run.worker.is_over = False
        harness.cell.context.worker_list_as_of_ms = float("inf")
        left.append(may)
        return may

    harness.cell.commands.may_start = change_midway
    harness.submit(JOB, gang(4, estimated_ms=300_000))
    assert_gangs_succeed(harness)


@pytest.mark.parametrize("stalls", [0, 1, 2])
def test_waiting_gang_does_not_count_as_stalled(make_harness, stalls):
    """Waiting for other members must not count as a stall."""
    harness = with_gangs(make_harness)
    harness.refusal_for = only_first(StartRun, 2, Refusal.UNWELL)
    harness.submit(JOB, gang(4))
    for task in harness.job(JOB).steps[0].tasks:
        task.stalls = stalls
    assert_gangs_succeed(harness)
    assert not any(note.event == "run_stands_still" for note in harness.notes)


def test_gang_is_not_started_with_silent_worker(make_harness):
    """A worker stops answering before the starts are sent."""
    harness = with_gangs(make_harness)
    harness.append_latency_ms = lambda: 600.0
    harness.submit(JOB, gang(8, estimated_ms=300_000))
    harness.run(50)
    chosen = harness.job(JOB).steps[0].tasks[3].runs[0].worker
    harness.disconnect_worker(harness.workers[chosen.worker_id], for_ms=2_000.0)
    harness.run(650)
    assert harness.counts["worker_silent"] == 1
    assert not harness.running()
    assert_gangs_succeed(harness)


def test_running_gang_ends_without_stops(make_harness):
    """Guards against needless stops: all members end with the first."""
    harness = with_gangs(make_harness)
    harness.submit(JOB, gang(4))
    harness.run(400)
    assert harness.gangs.started_gangs
    worker = next(worker for worker in harness.workers.values() if worker.running)
    worker.end(next(iter(worker.running)), "failed")
    assert_gangs_succeed(harness)
    assert not harness.counts["member_gone"]
    assert len(harness.gangs.started_gangs) == 2


# Random load -------------------------------------------------------


def slow_down_owner(harness, rng):
    """Delay cycles, appends, answers and commands as under an overloaded owner."""
    harness.cycle_interval_ms = lambda: rng.uniform(5.0, 200.0)
    harness.append_latency_ms = lambda: rng.choice((10.0, 155.0, 400.0))
    harness.answer_latency_ms = lambda effect: rng.uniform(0.0, 800.0)
    harness.command_latency_ms = lambda effect: rng.uniform(3.0, 150.0)


def inject_start_faults(harness, rng):
    harness.refusal_for = lambda effect: (
        rng.choice(REFUSALS) if rng.random() < 0.05 else None
    )
    harness.is_start_answer_lost = lambda effect: rng.random() < 0.03
    harness.is_command_lost = lambda effect: (
        isinstance(effect, StartRun) and rng.random() < 0.03
    )
    harness.is_stop_dropped = lambda effect: (
        isinstance(effect, StopRun) and rng.random() < 0.05
    )
    harness.command_delay_ms = lambda effect: (
        rng.uniform(300.0, 6_000.0)
        if isinstance(effect, StartRun) and rng.random() < 0.03
        else 0.0
    )


@pytest.mark.parametrize("with_faults", [False, True])
@pytest.mark.parametrize("seed", range(24))
def test_no_member_times_out_under_slow_owner(make_harness, seed, with_faults):
    rng = random.Random(f"gangs {seed}")
    harness = with_gangs(make_harness, workers=16)
    slow_down_owner(harness, rng)
    if with_faults:
        inject_start_faults(harness, rng)
    jobs = [f"{number:016x}" for number in range(1, 11)]
    for job_id in jobs:
        estimated_ms = rng.choice((500, 5_000, 300_000))
        harness.submit(job_id, gang(rng.randint(2, 12), estimated_ms=estimated_ms))
        harness.run(rng.uniform(50.0, 1_500.0))
    harness.run(15_000)
    slow_down_owner(harness, random.Random(0))
    harness.is_command_lost = harness.is_start_answer_lost = harness.is_stop_dropped = (
        lambda effect: False
    )
    harness.refusal_for = lambda effect: None
    harness.command_delay_ms = lambda effect: 0.0
    assert_gangs_succeed(harness, jobs)


# Owner failure -----------------------------------------------------------------


@pytest.mark.parametrize("after_ms", [20.0, 60.0, 400.0])
def test_new_owner_stops_partial_gang(make_harness, after_ms):
    """The previous owner ends while some starts are lost."""
    harness = with_gangs(make_harness)
    harness.is_command_lost = only_first(StartRun, 3, True)
    harness.submit(JOB, gang(6, estimated_ms=300_000))
    harness.run(after_ms)
    harness.is_owner_down = True
    harness.run(300)
    harness.take_over()
    assert_gangs_succeed(harness)
