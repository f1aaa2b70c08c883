"""Guards against work that stands still because workers are isolated for suspects.

A worker that is kept for one job, which may crash it, takes no other job for up to
30 s. That is a preference: who can run nowhere else may not wait that long.
"""

import pytest

from thymefork_cells.state import Isolation, JobState

from .harness import job_spec
from .standstills import StandstillWatch
from .test_standstills import (
    ADVICE,
    LASTING,
    LASTING_STEP,
    MAX_JOB_IDLE_MS,
    MAX_LASTING_IDLE_MS,
    SMALL_STEP,
    WAITING,
    set_lasting,
)

SUSPECTED = "e" * 16
ISOLATED_MS = 30_000.0
SPREAD_STEP = {**LASTING_STEP, "most_per_worker": 1}


def isolate(harness, count):
    """Start a lasting job on this many workers and keep them for it; return them."""
    for worker in harness.workers.values():
        worker.work_ms_of |= {f"{SUSPECTED}.0.0.{index}": 1e9 for index in range(8)}
    harness.submit(SUSPECTED, job_spec({**SPREAD_STEP, "count": count}))
    harness.run(2_000)
    runs = harness.job(SUSPECTED).runs
    assert len(runs) == count
    for run in runs:
        run.worker.isolation = Isolation(
            job=harness.job(SUSPECTED), until_ms=harness.now + ISOLATED_MS
        )
    return {run.worker.worker_id for run in runs}


# A job whose policy admits two workers ran nothing while both were isolated.
@pytest.mark.parametrize(
    "step", [SMALL_STEP, {**SMALL_STEP, "gang": True}, {**SMALL_STEP, "count": 9}]
)
def test_job_runs_where_all_its_workers_are_isolated(make_harness, step):
    harness = make_harness(workers=8, advice=ADVICE)
    allowed = sorted(harness.workers)[:2]
    harness.is_allowed = lambda step, worker_id: worker_id in allowed
    isolate(harness, 2)
    harness.submit(WAITING, job_spec(step))
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert watch.longest_ms.get(WAITING, 0.0) < MAX_JOB_IDLE_MS
    assert harness.job(WAITING).state is JobState.SUCCEEDED


# One lasting task on a worker, and the only worker left was isolated.
def test_lasting_task_runs_where_its_last_worker_is_isolated(make_harness):
    harness = make_harness(workers=4)
    set_lasting(harness)
    harness.submit(LASTING, job_spec(SPREAD_STEP))
    isolate(harness, 4)
    worker = next(iter(harness.workers.values()))
    key = next(key for key in worker.running if key[0].startswith(LASTING))
    worker.advance(harness.now)
    worker.end(key, "failed")
    watch = StandstillWatch(harness=harness)
    watch.run(10_000)
    assert 0 < watch.longest_ms.get(key[0], 0.0) < MAX_LASTING_IDLE_MS


# Others may be crashed there, so an isolated worker is the last choice.
def test_isolated_worker_is_left_alone_while_others_have_room(make_harness):
    harness = make_harness(workers=4)
    isolated = isolate(harness, 2)
    for number in range(40):
        harness.submit(f"{number:016x}", job_spec({"count": 6, "cpu_milli": 500}))
        harness.run(250)
    harness.run(2_000)
    others = {
        task
        for worker_id in isolated
        for task, _, _ in harness.workers[worker_id].starts
        if not task.startswith(SUSPECTED)
    }
    assert not others
