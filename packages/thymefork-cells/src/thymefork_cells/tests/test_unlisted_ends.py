"""Workers on which more runs end than they list at once.

What such a list leaves out must not be taken for a run that is gone: its task was done,
and would run again.
"""

import pytest

from thymefork_cells.state import JobState

from .harness import job_spec
from .run_invariants import tasks_run_twice

JOB, LATER = "a" * 16, "b" * 16
MAX_LISTED, TASKS = 20, 150
STEP = {"count": TASKS, "cpu_milli": 20, "estimated_ms": 1_500}
WORK_MS = 1_500.0
# Longest time that a job may run nothing beside room.
STANDSTILL_MS = 3_000.0


@pytest.fixture
def harness(make_harness):
    """Return a harness whose two workers run all tasks of the job."""
    harness = make_harness(workers=2, cpu_milli=2_000)
    for worker in harness.workers.values():
        worker.max_listed_ends = MAX_LISTED
        worker.work_ms = WORK_MS
    harness.submit(JOB, job_spec(STEP))
    harness.run(300)
    assert len(harness.running()) == TASKS
    return harness


def waiting_ends(harness):
    """Return how many ends wait on each worker."""
    harness.running()
    return [len(worker.ended) for worker in harness.workers.values()]


def starts(harness):
    return sum(len(worker.starts) for worker in harness.workers.values())


def assert_each_task_ran_once(harness):
    harness.run(STANDSTILL_MS)
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED
    assert starts(harness) == TASKS
    assert not tasks_run_twice(harness)


# Tasks that were done in an outage of the store ran again after it.
@pytest.mark.parametrize("outage_ms", [1_500, 3_000, 6_000])
def test_no_task_runs_again_after_an_outage_with_unlisted_ends(harness, outage_ms):
    harness.run(WORK_MS - 400)
    harness.store_down = harness.cell.context.is_store_unavailable = True
    harness.run(outage_ms)
    assert min(waiting_ends(harness)) > MAX_LISTED
    harness.store_down = harness.cell.context.is_store_unavailable = False
    assert_each_task_ran_once(harness)


# The store need not be away: polls without an answer hold back the ends as well.
@pytest.mark.parametrize("silent_ms", [700, 1_200, 2_000])
def test_no_task_runs_again_after_silence_with_unlisted_ends(harness, silent_ms):
    harness.run(WORK_MS - 400)
    for worker in harness.workers.values():
        worker.is_unreachable = True
    harness.run(silent_ms)
    assert min(waiting_ends(harness)) > MAX_LISTED
    for worker in harness.workers.values():
        worker.is_unreachable = False
    assert_each_task_ran_once(harness)


# The first report to a next owner lists the oldest ends alone.
@pytest.mark.parametrize("away_ms", [100, 700, 1_500])
@pytest.mark.parametrize("with_outage", [False, True])
def test_next_owner_takes_unlisted_ends_for_no_lost_runs(harness, away_ms, with_outage):
    harness.run(WORK_MS - 400)
    if with_outage:
        harness.store_down = harness.cell.context.is_store_unavailable = True
        harness.run(300)
    harness.is_owner_down = True
    harness.run(away_ms + 300)
    assert min(waiting_ends(harness)) > MAX_LISTED
    harness.store_down = False
    harness.take_over()
    assert_each_task_ran_once(harness)


# Ends behind one that is held back on purpose are not listed, in calm as well.
def test_no_task_runs_again_behind_a_withheld_end(harness):
    workers = harness.cell.context.workers.values()
    for worker in workers:
        harness.cell._withheld_ends.withhold(worker, 5, harness.now + WORK_MS + 1_500)
    harness.run(WORK_MS + 1_000)
    assert min(waiting_ends(harness)) > MAX_LISTED
    assert_each_task_ran_once(harness)


# Each report of many that end at once is cut; they have to be told soon.
def test_ends_that_come_faster_than_a_list_holds_are_told_soon(harness):
    harness.submit(LATER, job_spec({"count": 2, "cpu_milli": 2_000}))
    harness.run(WORK_MS - 300)
    began_ms = harness.now
    while harness.job(JOB).visible_state is not JobState.SUCCEEDED:
        harness.run(5)
        assert harness.now - began_ms < STANDSTILL_MS
    harness.run(300)
    assert len([task for task, _ in harness.running() if task.startswith(LATER)]) == 2
    assert starts(harness) == TASKS + 2
    harness.run(1_000)  # a waiting poll acknowledges as it is answered
    assert waiting_ends(harness) == [0, 0]


# A stop may be answered while the end of its run is not listed yet.
def test_cancelled_runs_with_unlisted_ends_are_gone_soon(harness):
    harness.run(500)
    harness.cell.intake.cancel("cancel", JOB, now_ms=harness.now)
    harness.run(1_000)
    assert not harness.running()
    assert not harness.job(JOB).runs
    harness.submit(LATER, job_spec({"count": 2, "cpu_milli": 2_000}))
    harness.run(200)
    assert len(harness.running()) == 2


# Operators have to see that a worker lists its ends in part.
def test_unlisted_ends_are_told_of_once(harness):
    harness.run(WORK_MS - 400)
    harness.store_down = harness.cell.context.is_store_unavailable = True
    harness.run(2_000)
    harness.store_down = harness.cell.context.is_store_unavailable = False
    assert_each_task_ran_once(harness)
    for worker_id in harness.workers:
        events = [
            note.event
            for note in harness.notes
            if note.event.startswith("ends_listed")
            and note.fields["worker"] == worker_id
        ]
        assert events[:2] == ["ends_listed_in_part", "ends_listed_whole"]
    assert harness.counts["ends_in_part"] > 2
