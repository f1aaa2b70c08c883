"""Guards against leases that outlast what their owner told possible next owners.

A worker that was announced as leaving gets short leases as long as the ownership lasts,
also if it is forgotten meanwhile and comes back under its id. Otherwise a next owner
that can't reach it starts its tasks a second time.
"""

import pytest
from attrs import evolve

from .harness import job_spec
from .run_invariants import tasks_run_twice

WORKER = "w0"
# The registry forgets a worker without entry and runs after 10 s.
AWAY_MS = [2_000.0, 6_000.0, 12_500.0, 16_000.0]
RUN_MS = 60_000.0


@pytest.fixture
def harness(make_harness):
    return make_harness(workers=6)


def set_run_duration(harness, run_ms):
    for worker in harness.workers.values():
        worker.work_ms = run_ms


def remove_entry(harness):
    """Remove the worker's entry; return it."""
    (entry,) = (row for row in harness.entries if row.worker_id == WORKER)
    harness.publish_worker_list([row for row in harness.entries if row != entry])
    return entry


def fill_workers(harness):
    """Start a task on each worker."""
    harness.submit("00000000000000aa", job_spec({"count": 6, "cpu_milli": 8_000}))
    harness.run(3_000)
    assert harness.workers[WORKER].running


def replace_owner(harness, is_planned):
    """Replace the owner by one that has room and can't reach the worker."""
    harness.partitions.out_of_reach[harness.epoch + 1] = {WORKER}
    other = next(worker for name, worker in harness.workers.items() if name != WORKER)
    for run in other.running.values():
        run.ends_ms = harness.now
    if is_planned:
        harness.stop_owner()
        harness.run(100)
    else:
        harness.partitions.add(member_until_ms=harness.now + 900)
        harness.run(950)
    harness.take_over()
    harness.run(6_000)


# Its next life got long leases while next owners were told of short ones.
@pytest.mark.parametrize("is_planned", [False, True])
@pytest.mark.parametrize("away_ms", AWAY_MS)
def test_worker_that_returns_after_its_leave(harness, away_ms, is_planned):
    set_run_duration(harness, RUN_MS)
    worker = harness.workers[WORKER]
    entry = remove_entry(harness)
    draining = evolve(entry, draining=True, leaves_in_ms=1_000)
    harness.publish_worker_list([draining, *harness.entries])
    harness.run(500)
    worker.end_incarnation(harness.now)
    remove_entry(harness)
    harness.run(away_ms)
    worker.begin_incarnation(harness.now)
    returned = evolve(entry, born_epoch_ms=worker.born_epoch_ms)
    harness.publish_worker_list([returned, *harness.entries])
    harness.run(500)
    fill_workers(harness)
    replace_owner(harness, is_planned)
    assert not tasks_run_twice(harness)


# The same in one life: it is cut off from the store, which looks like a leave.
@pytest.mark.parametrize("is_planned", [False, True])
@pytest.mark.parametrize("away_ms", AWAY_MS)
def test_worker_whose_entry_lapses_for_long(harness, away_ms, is_planned):
    set_run_duration(harness, 4_000.0)
    harness.submit("00000000000000bb", job_spec({"count": 6, "cpu_milli": 8_000}))
    harness.run(500)
    entry = remove_entry(harness)
    harness.run(away_ms)
    harness.publish_worker_list([entry, *harness.entries])
    harness.run(500)
    set_run_duration(harness, RUN_MS)
    fill_workers(harness)
    replace_owner(harness, is_planned)
    assert not tasks_run_twice(harness)
