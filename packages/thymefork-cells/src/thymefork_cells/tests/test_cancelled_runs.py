"""Guards against runs of cancelled jobs that are never stopped.

Stops must not get lost if the worker is unlisted, silent or ignores them.
"""

import random

import pytest

from thymefork_cells.effects import Outcome, StartRun, StopRun
from thymefork_cells.state import JobState

from .harness import job_spec

JOB = "00000000000000aa"
# A lease, and the time that a worker takes to stop a run.
STOPPED_WITHIN_MS = 3_200


def start_long_running(harness, count=2):
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    long_running_step = {"count": count, "cpu_milli": 500, "long_running": True}
    harness.submit(JOB, job_spec(long_running_step))
    harness.run(400)
    assert harness.running()


def cancel(harness):
    harness.cell.intake.cancel("cancel", JOB, now_ms=harness.now)
    harness.run(100)
    assert harness.replies["cancel"].outcome is Outcome.CANCELLED


@pytest.mark.parametrize("command_delay_ms", [400, 2_500])
def test_task_with_delayed_start_is_stopped_when_cancelled(
    make_harness, command_delay_ms
):
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 600_000.0
    harness.command_delay_ms = lambda effect: (
        command_delay_ms if isinstance(effect, StartRun) else 0.0
    )
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500, "long_running": True}))
    harness.run(100)
    cancel(harness)
    harness.run(STOPPED_WITHIN_MS + command_delay_ms)
    assert not harness.running()


@pytest.mark.parametrize("command_delay_ms", [400, 2_500])
def test_task_with_delayed_start_is_stopped_by_next_owner(
    make_harness, command_delay_ms
):
    harness = make_harness(workers=1)
    harness.workers["w0"].work_ms = 600_000.0
    harness.command_delay_ms = lambda effect: (
        command_delay_ms if isinstance(effect, StartRun) else 0.0
    )
    harness.submit(JOB, job_spec({"count": 2, "cpu_milli": 500, "long_running": True}))
    harness.run(100)
    entries, harness.entries = harness.entries, []
    harness.take_over()
    harness.run(100)
    cancel(harness)
    harness.run(command_delay_ms)
    harness.load_worker_list(entries)
    harness.run(STOPPED_WITHIN_MS)
    assert not harness.running()


@pytest.mark.parametrize("unlisted_for_ms", [300, 2_000])
def test_task_cancelled_on_unlisted_worker_is_stopped(make_harness, unlisted_for_ms):
    harness = make_harness(workers=2)
    start_long_running(harness)
    entries, harness.entries = harness.entries, []
    harness.take_over()
    harness.run(50)
    cancel(harness)
    harness.run(unlisted_for_ms)
    harness.load_worker_list(entries)
    harness.run(STOPPED_WITHIN_MS - unlisted_for_ms)
    assert not harness.running()
    assert not harness.cell.context.workers["w0"].runs


def test_job_cancelled_before_takeover_stops_on_unlisted_worker(
    make_harness,
):
    harness = make_harness(workers=2)
    start_long_running(harness)
    harness.is_command_lost = lambda effect: isinstance(effect, StopRun)
    cancel(harness)
    harness.is_command_lost = lambda effect: False
    assert harness.running()
    entries, harness.entries = harness.entries, []
    harness.take_over()
    harness.run(300)
    harness.load_worker_list(entries)
    harness.run(1_000)
    assert not harness.running()
    assert harness.job(JOB).visible_state is JobState.CANCELLED


def test_task_cancelled_before_worker_is_unlisted_is_stopped(make_harness):
    harness = make_harness(workers=2)
    start_long_running(harness)
    harness.take_over()
    harness.run(50)
    cancel(harness)
    harness.load_worker_list([])
    harness.run(STOPPED_WITHIN_MS)
    assert not harness.running()


def no_outcome(harness):
    harness.is_stop_dropped = lambda effect: isinstance(effect, StopRun)


def answered_in_vain(harness):
    for worker in harness.workers.values():
        worker.ignored_stops = 2


@pytest.mark.parametrize("break_stops", [no_outcome, answered_in_vain])
def test_ineffective_stop_is_sent_again(make_harness, break_stops):
    harness = make_harness(workers=2)
    start_long_running(harness)
    break_stops(harness)
    cancel(harness)
    harness.is_stop_dropped = lambda effect: False
    harness.run(STOPPED_WITHIN_MS)
    assert not harness.running()


def test_worker_that_answers_only_polls_ends_cancelled_runs(
    make_harness,
):
    harness = make_harness(workers=1)
    start_long_running(harness)
    harness.is_command_lost = lambda effect: isinstance(effect, StopRun)
    cancel(harness)
    harness.run(STOPPED_WITHIN_MS)
    assert not harness.running()


class RandomFaults:
    """Inject random faults while jobs are cancelled."""

    def __init__(self, *, harness, rng):
        self._harness = harness
        self._rng = rng
        self._entries = list(harness.entries)

    def begin(self):
        """Lose some commands, and delay some by up to 12 s."""
        self._harness.is_command_lost = lambda effect: self._rng.random() < 0.06
        self._harness.command_delay_ms = self._draw_delay_ms

    def _draw_delay_ms(self, effect):
        return self._rng.uniform(300, 12_000) if self._rng.random() < 0.1 else 0.0

    def inject(self):
        """Disconnect a worker, change the worker list or replace the owner, or not."""
        harness, rng = self._harness, self._rng
        if rng.random() < 0.1:
            worker = rng.choice(list(harness.workers.values()))
            worker.is_unreachable = not worker.is_unreachable
        if rng.random() < 0.15:
            count = rng.randint(0, len(self._entries))
            harness.load_worker_list(rng.sample(self._entries, count))
        if rng.random() < 0.08:
            harness.is_owner_down = True
            harness.run(rng.choice([20, 300, 1_200]))
            harness.take_over()

    def end(self):
        """End all faults."""
        self._harness.is_command_lost = lambda effect: False
        self._harness.command_delay_ms = lambda effect: 0.0
        for worker in self._harness.workers.values():
            worker.is_unreachable = False
        self._harness.load_worker_list(self._entries)


def long_running_job(rng):
    step = {"count": rng.randint(1, 4), "cpu_milli": 300, "long_running": True}
    return job_spec(step)


@pytest.mark.parametrize("seed", range(16))
def test_no_cancelled_task_remains_after_random_faults(make_harness, seed):
    rng = random.Random(seed)
    harness = make_harness(workers=5)
    for worker in harness.workers.values():
        worker.work_ms = 600_000.0
    faults = RandomFaults(harness=harness, rng=rng)
    faults.begin()
    job_ids = [f"{number:016x}" for number in range(40)]
    cancelled = set()
    for job_id in job_ids:
        harness.submit(job_id, long_running_job(rng))
        faults.inject()
        for other in rng.sample(job_ids, 2):
            if other in harness.cell.context.jobs and rng.random() < 0.5:
                harness.cell.intake.cancel(other, other, now_ms=harness.now)
                cancelled.add(other)
        harness.run(rng.choice([50, 200, 600]))
    for job_id in cancelled & harness.cell.context.jobs.keys():
        harness.cell.intake.cancel(job_id, job_id, now_ms=harness.now)
    faults.end()
    harness.run(16_000)  # covers commands that are delayed by 12 s
    tracked_cancelled_ids = {
        job_id for job_id in cancelled if job_id in harness.cell.context.jobs
    }
    assert tracked_cancelled_ids
    assert not [
        task
        for task, _ in harness.running()
        if task.split(".")[0] in tracked_cancelled_ids
    ]
    assert not [
        run for job_id in tracked_cancelled_ids for run in harness.job(job_id).runs
    ]
    assert not harness.cell.context.pending_stops
