"""Random worker crashes, caused by tasks or independent of them."""

import random

import pytest

from thymefork_cells.effects import StartRun
from thymefork_cells.state import JobState
from thymefork_cells.workers.crash_evidence import MAX_LOSSES

from .harness import Harness, job_spec
from .test_crash_isolation import THREE_HALLS, crash_by, reachable, set_work_ms


@pytest.mark.parametrize("seed", range(16))
def test_crashing_tasks_are_found_among_other_faults(seed):
    """Mixes crashing tasks with crashes, disconnects, lost answers and takeovers."""
    rng = random.Random(seed)
    harness = Harness(workers=18, **THREE_HALLS)
    harness.take_over()
    harness.run(50)
    crashing, ordinary, lasting = _submit_all(harness, rng)
    until_ms = harness.now + 40_000
    while harness.now < until_ms:
        _inject_fault(harness, rng)
        harness.run(rng.uniform(200, 2_000))
    for worker in harness.workers.values():
        worker.is_unreachable = worker.is_unreachable and worker.worker_id in _crashed(
            harness
        )
    harness.is_start_answer_lost = lambda effect: False
    harness.run(60_000)
    for job_id in crashing:
        task = f"{job_id}.0.0.0"
        assert len(harness.starts_after_nth_crash(task, 3)) < 3, seed
        assert harness.job(job_id).visible_state is JobState.FAILED, seed
    for job_id in ordinary:
        assert harness.job(job_id).visible_state is JobState.SUCCEEDED, seed
    for job_id in lasting:
        assert harness.job(job_id).visible_state is JobState.RUNNING, seed


def _crashed(harness):
    return {crash.worker_id for crash in harness.crashes}


def _submit_all(harness, rng):
    kinds = (
        {"count": 4, "cpu_milli": 500},
        {"count": 2, "cpu_milli": 500, "speculative": True},
        {"count": 3, "cpu_milli": 500, "gang": True},
    )
    long_running_step = {"count": 3, "cpu_milli": 500, "long_running": True}
    crashing = [f"{number:016x}" for number in range(1, 5)]
    ordinary = [f"{number:016x}" for number in range(100, 112)]
    lasting = [f"{number:016x}" for number in range(200, 202)]
    harness.crashes_after_ms = crash_by(
        *(f"{job}.0.0.0" for job in crashing), after_ms=rng.choice((0.0, 10.0, 500.0))
    )
    for job in crashing:
        harness.submit(job, job_spec(rng.choice((*kinds, long_running_step))))
    for job in ordinary:
        harness.submit(job, job_spec(rng.choice(kinds)))
    for job in lasting:
        harness.submit(job, job_spec(long_running_step))
    return crashing, ordinary, lasting


def _inject_fault(harness, rng):
    """Inject a random fault beside the crashing tasks."""
    kind = rng.choice(("owner", "crash", "cut", "heal", "mute", "nothing"))
    if kind == "owner":
        harness.is_owner_down = True
        harness.run(300)
        harness.take_over()
    elif kind == "crash" and len(harness.crashes) < MAX_LOSSES:
        harness.crash(rng.choice(reachable(harness)))
    elif kind == "cut" and len(reachable(harness)) > 12:
        rng.choice(reachable(harness)).is_unreachable = True
    elif kind == "heal":
        for worker in harness.workers.values():
            worker.is_unreachable = (
                worker.is_unreachable and worker.worker_id in _crashed(harness)
            )
    elif kind == "mute":
        share = rng.choice((0.0, 0.2))
        harness.is_start_answer_lost = lambda effect: (
            isinstance(effect, StartRun) and rng.random() < share
        )


def states_after_crash_waves(make_harness, seed, gaps_ms):
    """Return the final states of jobs after waves that crash a quarter of workers."""
    rng = random.Random(seed)
    harness = make_harness(workers=24, **THREE_HALLS)
    set_work_ms(harness, 5_000.0)
    jobs = [f"{number:016x}" for number in range(100, 130)]
    submitted = iter(jobs)
    for _ in range(5):
        for _ in range(6):
            job_id = next(submitted)
            harness.submit(job_id, job_spec({"count": 5, "cpu_milli": 800}))
            harness.run(rng.choice(gaps_ms))
        for worker in rng.sample(reachable(harness), 6):
            harness.crash(worker)
    harness.run(40_000)
    return [harness.job(job_id).visible_state for job_id in jobs]


@pytest.mark.parametrize(
    ("gaps_ms", "max_failed_fraction"),
    [((700,), 0.01), ((300, 1_100), 0.01), ((1_500,), 0.0)],
)
def test_few_jobs_fail_in_waves_of_crashes(make_harness, gaps_ms, max_failed_fraction):
    """Guards against blaming tasks for crashes that they did not cause.

    A few failures are accepted: regular waves look like a crashing task.
    """
    states = [
        state
        for seed in range(10)
        for state in states_after_crash_waves(make_harness, seed, gaps_ms)
    ]
    assert states.count(JobState.FAILED) <= max_failed_fraction * len(states)
    assert set(states) <= {JobState.SUCCEEDED, JobState.FAILED}
