"""Lost answers, silent workers, takeovers and store outages.

Guards against tasks that run twice at once or are never finished.
"""

import pytest
from attrs import evolve

from thymefork_cells.effects import Outcome, StartRun
from thymefork_cells.state import JobState

from .command_transport import COMMAND_TIMEOUT_MS
from .harness import job_spec

JOB = "00000000000000aa"


def first_start():
    """Return a predicate that matches the first start, and a list with its run."""
    seen = []

    def is_first(effect):
        if seen or not isinstance(effect, StartRun):
            return False
        seen.append(effect.run)
        return True

    return is_first, seen


def keep_no_worker_ids(harness):
    """Let workers tell no start time, as those do that never keep their ids."""
    for worker in harness.workers.values():
        worker.born_epoch_ms = 0
    harness.entries = [evolve(entry, born_epoch_ms=0) for entry in harness.entries]
    harness.take_over()
    harness.run(50)


def test_unanswered_start_is_stopped_before_the_next(harness):
    keep_no_worker_ids(harness)
    harness.is_command_lost, lost = first_start()
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_500)
    worker = harness.workers[lost[0].worker.worker_id]
    assert worker.closed[f"{JOB}.0.0.0"] >= 1  # a delayed start would be refused
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_tasks_of_silent_worker_wait_for_its_lease(make_harness):
    harness = make_harness(workers=2, hall=lambda number: f"hall-{number}")
    for worker in harness.workers.values():
        worker.work_ms = 3_000.0
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 4_000}))
    harness.run(700)
    unreachable = harness.workers["w0"]
    unreachable.is_unreachable = True
    tasks = [key[0] for key in unreachable.running]
    assert tasks
    harness.run(9_000)
    unreachable.advance(harness.now)
    for task in tasks:
        again_ms = [at for owner, run, at in harness.starts_of(task) if owner == "w1"]
        assert again_ms and again_ms[0] >= unreachable.lease_until_ms
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_next_owner_keeps_running_tasks(harness):
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 500}))
    harness.run(200)
    harness.is_owner_down = True
    harness.run(400)
    harness.take_over()
    harness.run(2_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    for index in range(4):
        assert len(harness.starts_of(f"{JOB}.0.0.{index}")) == 1


def test_next_owner_waits_for_unreachable_worker(make_harness):
    harness = make_harness(workers=4)
    for worker in harness.workers.values():
        worker.work_ms = 20_000.0
    harness.submit(JOB, job_spec({"count": 4, "cpu_milli": 8_000}))
    harness.run(300)
    harness.is_owner_down = True
    unreachable = harness.workers["w0"]
    unreachable.is_unreachable = True
    task = next(iter(unreachable.running))[0]
    harness.run(1_000)
    harness.take_over()
    taken_over_ms = harness.now
    harness.run(3_500)
    assert len(harness.starts_of(task)) == 1
    harness.workers["w1"].is_unreachable = False
    harness.run(4_000)
    harness.cell.registry.expire_leases(harness.now)
    assert not harness.cell.context.workers["w0"].runs
    assert harness.now - taken_over_ms < 10_000


def test_task_that_ended_before_takeover_is_not_repeated(harness):
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500}))
    harness.run(600)
    harness.is_owner_down = True
    harness.run(600)  # the tasks end while no owner polls
    harness.take_over()
    harness.run(1_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_stalled_task_is_moved(make_harness):
    harness = make_harness(workers=2)
    harness.workers["w0"].is_stalled = True
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 8_000}))
    harness.run(8_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_task_with_constant_progress_succeeds(make_harness):
    # Guards against stopping a task again and again because its progress is constant.
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.work_ms = 4_000.0
        worker._percent = lambda run, now_ms: 50
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(25_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


@pytest.mark.parametrize("seed", range(12))
def test_no_task_runs_twice_at_once_under_random_faults(make_harness, seed):
    import random

    rng = random.Random(seed)
    harness = make_harness(workers=5)
    harness.is_command_lost = lambda effect: rng.random() < 0.08
    submitted = 0
    for _ in range(120):
        if rng.random() < 0.5:
            count = rng.randint(1, 4)
            steps = [{"count": count, "cpu_milli": rng.choice([500, 2_000])}]
            if rng.random() < 0.5:
                steps.append({"count": 2, "cpu_milli": 700, "after": (0,)})
            harness.submit(f"{submitted:016x}", job_spec(*steps))
            submitted += 1
        worker = rng.choice(list(harness.workers.values()))
        if rng.random() < 0.08:
            worker.is_unreachable = not worker.is_unreachable
        if rng.random() < 0.05:
            harness.is_owner_down = True
            harness.run(rng.choice([20, 300, 1_200]))
            harness.take_over()
        for _ in range(10):
            harness.run(8)
            _assert_no_task_runs_twice(harness)
    for worker in harness.workers.values():
        worker.is_unreachable = False
    harness.is_command_lost = lambda effect: False
    harness.run(40_000)
    accepted = [r for r in harness.replies.values() if r.outcome is Outcome.ACCEPTED]
    assert accepted
    for reply in accepted:
        assert harness.job(reply.reply_to).visible_state is JobState.SUCCEEDED


def _assert_no_task_runs_twice(harness):
    seen = set()
    for worker in harness.workers.values():
        worker.advance(harness.now)
        for task, _ in worker.running:
            assert task not in seen, f"{task} runs twice"
            seen.add(task)


def test_paused_worker_with_runs_gets_work_again(make_harness):
    # Guards against workers with long-running tasks that never leave their pause.
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 60_000.0
    long_running = job_spec({"count": 1, "cpu_milli": 500, "long_running": True})
    harness.submit("1" * 16, long_running)
    harness.run(100)
    health = harness.cell.context.workers["w0"].health
    health.pause(harness.now)
    harness.workers["w0"].work_ms = 200.0
    harness.submit(JOB, job_spec({"count": 3, "cpu_milli": 500}))
    harness.run(5_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_worker_on_probation_gets_one_task_at_a_time(make_harness):
    harness = make_harness(workers=1)
    harness.cell.context.workers["w0"].health.pause(harness.now)
    harness.submit(JOB, job_spec({"count": 3, "cpu_milli": 500}))
    harness.run(2_000)
    assert len(harness.workers["w0"].running) == 1
    harness.run(4_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_advice_for_denied_worker_is_requested_again(make_harness):
    advice = {"decision_ms": 50.0, "per_worker_ms": 1.0, "valid_ms": 2_500.0}
    harness = make_harness(workers=2, advice=advice)
    harness.is_allowed = lambda step, worker_id: False
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(1_000)
    harness.is_allowed = lambda step, worker_id: True
    harness.run(9_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_success_reported_after_lease_expiry_counts(make_harness):
    # Guards against acknowledging an end and still running the task again.
    harness = make_harness(workers=1)
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500}))
    harness.run(400)
    harness.workers["w0"].is_unreachable = True
    harness.run(6_000)
    assert not harness.cell.context.workers["w0"].runs  # the leases have expired
    harness.workers["w0"].is_unreachable = False
    harness.run(2_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_late_success_stops_the_replacement_run(make_harness):
    harness = make_harness(workers=2, hall=lambda number: f"hall-{number}")
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(200)
    first = next(w for w in harness.workers.values() if w.running)
    other = next(w for w in harness.workers.values() if w is not first)
    first.is_unreachable = True
    other.work_ms = 60_000.0
    harness.run(5_500)
    assert other.running
    first.is_unreachable = False
    harness.run(1_500)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert not other.running


def test_failure_reported_after_lease_expiry_counts(make_harness):
    harness = make_harness(workers=1, max_attempts=1)
    harness.workers["w0"].fails_all = True
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(75)
    harness.workers["w0"].is_unreachable = True
    harness.run(6_000)
    harness.workers["w0"].is_unreachable = False
    harness.run(3_000)
    assert harness.job(JOB).visible_state is JobState.FAILED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_next_owner_replies_with_states_of_ended_jobs(harness):
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 100}))
    harness.run(2_000)
    harness.take_over()
    harness.cell.intake.read("r", JOB)
    harness.cell.intake.cancel("c", JOB, now_ms=harness.now)
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 100}))
    harness.run(2_000)
    assert harness.replies["r"].state == JobState.SUCCEEDED
    assert harness.replies["c"].outcome is Outcome.UNKNOWN_JOB
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_run_continues_if_only_its_start_answer_is_lost(harness):
    """Guards against stopping a healthy run because its start was not answered."""
    harness.is_start_answer_lost, unanswered = first_start()
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_500)
    assert unanswered
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_run_that_vanishes_after_answer_without_clock_restarts(
    make_harness,
):
    harness = make_harness(workers=1)
    harness.omits_worker_clock, without_clock = first_start()
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(400)
    assert without_clock
    harness.workers["w0"].running.clear()
    harness.run(4_000)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 2


def test_unanswered_start_is_repeated_elsewhere_soon(harness):
    keep_no_worker_ids(harness)
    harness.is_command_lost, lost = first_start()
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(2_500)
    _, _, again_ms = harness.starts_of(f"{JOB}.0.0.0")[0]
    # The margin covers a poll, a stop and another poll.
    assert again_ms - lost[0].began_ms < COMMAND_TIMEOUT_MS + 80


def test_gang_that_waits_for_slow_member_is_not_stopped(make_harness):
    """Guards against stopping gangs on workers of different speeds as stalled."""
    harness = make_harness(workers=2)
    for worker in harness.workers.values():
        worker.stalls_at_completion = True
    gang = {"count": 2, "cpu_milli": 8_000, "estimated_ms": 500, "gang": True}
    harness.submit(JOB, job_spec(gang))
    harness.run(4_000)
    assert "stood_still" not in harness.counts


@pytest.mark.parametrize(
    "name", ["", "x", f"{JOB}", f"{JOB}.0.0", f"{JOB}.0.0.9", f"{JOB}.a.b.c"]
)
def test_end_of_unknown_task_is_ignored(harness, name):
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(300)
    harness.cell.lifecycle.end_late(name, 1, "done", now_ms=harness.now)
    assert harness.job(JOB).is_live
