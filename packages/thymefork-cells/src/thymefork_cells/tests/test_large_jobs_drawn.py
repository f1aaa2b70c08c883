"""Drawn orders of stored and failed appends of a large job, several in flight."""

import random

import pytest

from thymefork_cells import Cell
from thymefork_cells.effects import EndsStored, StartRun
from thymefork_cells.specs import Bounds, RecordLimits

from .harness import START_EPOCH_MS, job_spec
from .test_concurrent_appends import Appends

JOB, TASKS = "a" * 16, 300
LIMITS = RecordLimits(max_record_bytes=8_000, max_call_bytes=9_000)
MAX_IN_FLIGHT = 3
STEPS = 120


def next_owner(harness):
    """Return a cell with what a next owner would read now."""
    cell = Cell(
        cell=0,
        epoch=harness.epoch + 1,
        cell_count=1,
        bounds=Bounds(),
        configuration=harness.configuration,
        membership_ms=1_000.0,
        now_ms=harness.now,
    )
    epoch_ms = START_EPOCH_MS + harness.now
    cell.load(dict(harness.store), epoch_ms=epoch_ms, now_ms=harness.now)
    return cell


def unknown_to_next_owner(harness, effects):
    """Return the tasks whose started runs or acknowledged ends are not stored."""
    started = [e.run.key for e in effects if isinstance(e, StartRun)]
    acknowledged = [e for e in effects if isinstance(e, EndsStored)]
    if not started and not acknowledged:
        return []
    job = next_owner(harness).context.jobs[JOB]
    if not job.is_live:
        return []
    runs = {run.key for run in job.runs}
    done = {task.name for task in job.tasks if task.done}
    unknown = [key[0] for key in started if key not in runs and key[0] not in done]
    for effect in acknowledged:
        history = harness.workers[effect.worker.worker_id].history
        ended = [run.task for run in history if run.how == "done"]
        unknown += [task for task in ended[: effect.last_end] if task not in done]
    return unknown


# A start or an acknowledgement that left before its record may run a task twice.
@pytest.mark.parametrize("seed", range(15))
def test_next_owner_knows_each_start_and_each_acknowledged_end(make_harness, seed):
    rng = random.Random(seed)
    harness = make_harness(workers=3)
    harness.record_limits = LIMITS
    harness.take_over()
    for worker in harness.workers.values():
        worker.work_ms = 250.0
    harness.run(50)
    harness.submit(JOB, job_spec({"count": TASKS, "cpu_milli": 50}))
    appends = Appends(harness)
    for _ in range(STEPS):
        action = rng.choice(("run", "send", "send", "store", "store", "store", "fail"))
        if action == "run":
            harness.run(rng.choice((5, 20, 60)))
        elif action == "send" and len(appends.in_flight) < MAX_IN_FLIGHT:
            if not harness.cell.journal.is_empty:
                appends.send()
        elif action == "store" and appends.in_flight:
            effects = list(appends.in_flight[0].effects)
            appends.store_first()
            unknown = unknown_to_next_owner(harness, effects)
            assert not unknown
        elif action == "fail" and JOB in harness.replies and rng.random() < 0.4:
            appends.fail_all()
    appends.fail_all()
    appends.stop()
    harness.run(8_000)
    state = harness.job(JOB).visible_state
    assert state == "succeeded"
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1
