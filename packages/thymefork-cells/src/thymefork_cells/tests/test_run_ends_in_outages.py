"""What an owner hears while the store is away must not be lost with it.

The story, from the large deployment's day scale-2: workers say that they leave; the
store falls silent; tasks of a job's first step end, and their owner hears it but can't
store it. Before the store is back the workers have left, and another instance takes the
cell over. It can ask nobody: it waits until the leases are over (4.2 s), runs the tasks
once more, and the second step, which could have run all the while, stands still.

The log showed it: `ownership_gained` with many `unlisted_workers` right after the
outage, 4.4 s later `runs_lost lease_over` for runs that had ended before it, then
`tasks_start` of the first step anew.

The callers' bound is that a job with free room stands still for less than 3 s.
"""

import random

import pytest
from attrs import evolve

from thymefork_cells.state import JobState

from .command_transport import COMMAND_TIMEOUT_MS
from .harness import job_spec

JOB = "00000000000000aa"
# A job that could run stands still for less than this long once all is back.
STANDSTILL_BOUND_MS = 3_000.0
TWO_STEPS = (
    {"count": 4, "cpu_milli": 8_000, "estimated_ms": 800},
    {"count": 2, "cpu_milli": 8_000, "estimated_ms": 800, "after": (0,)},
)


def say_that_they_leave(harness, worker_ids, leaves_in_ms):
    """Let workers write that they leave, before the store is away."""
    harness.load_worker_list(
        [
            evolve(entry, draining=True, leaves_in_ms=leaves_in_ms)
            if entry.worker_id in worker_ids
            else entry
            for entry in harness.entries
        ]
    )


def leave(harness, worker_ids):
    """End workers; their entries go, unseen by the owner while the store is away.

    Return the jobs of which something died with them, or ended there unheard.
    """
    struck = set()
    for worker_id in worker_ids:
        worker = harness.workers[worker_id]
        worker.advance(harness.now)
        heard_end = harness.cell.context.workers[worker_id].heard_end
        unheard = {row.task for row in worker.ended if row.number > heard_end}
        unheard |= {task for task, _ in worker.running}
        struck |= {task.split(".")[0] for task in unheard}
        worker.running.clear()
        worker.is_unreachable = True
    harness.entries = [
        entry for entry in harness.entries if entry.worker_id not in worker_ids
    ]
    return struck


def begin_outage(harness):
    harness.store_down = harness.cell.context.is_store_unavailable = True


def replace_owner(harness):
    """Let the store come back as another instance takes the cell over."""
    harness.is_owner_down = True
    harness.store_down = False
    harness.take_over()


def run_into_outage(harness, *, for_ms=2_000):
    """Start the first step; let it end in an outage, and two workers leave in it."""
    harness.submit(JOB, job_spec(*TWO_STEPS))
    harness.run(100)
    say_that_they_leave(harness, ("w0", "w1"), leaves_in_ms=4_000)
    begin_outage(harness)
    harness.run(for_ms)
    leave(harness, ("w0", "w1"))
    harness.run(COMMAND_TIMEOUT_MS)


def starts_of_step(harness, step, count):
    return [len(harness.starts_of(f"{JOB}.0.{step}.{index}")) for index in range(count)]


def test_the_next_step_runs_though_the_workers_of_the_first_have_left(make_harness):
    harness = make_harness(workers=6)
    run_into_outage(harness)
    replace_owner(harness)
    harness.run(STANDSTILL_BOUND_MS)
    assert starts_of_step(harness, 1, 2) == [1, 1]
    assert starts_of_step(harness, 0, 4) == [1, 1, 1, 1]
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def test_what_was_heard_outlives_two_owners(make_harness):
    """A roll stops one owner after the other; the second stores nothing either."""
    harness = make_harness(workers=6)
    run_into_outage(harness)
    harness.is_owner_down = True
    harness.take_over()
    begin_outage(harness)
    harness.run(500)
    replace_owner(harness)
    harness.run(STANDSTILL_BOUND_MS)
    assert starts_of_step(harness, 1, 2) == [1, 1]
    assert starts_of_step(harness, 0, 4) == [1, 1, 1, 1]


def test_a_failure_that_was_heard_counts_as_an_attempt(make_harness):
    harness = make_harness(workers=2, max_attempts=1)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(100)
    first = harness.starts_of(f"{JOB}.0.0.0")[0][0]
    worker = harness.workers[first]
    for run in worker.running.values():
        run.how = "failed"
    say_that_they_leave(harness, (first,), leaves_in_ms=4_000)
    begin_outage(harness)
    harness.run(2_000)
    leave(harness, (first,))
    replace_owner(harness)
    harness.run(STANDSTILL_BOUND_MS)
    assert harness.job(JOB).visible_state is JobState.FAILED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_an_end_heard_before_its_owner_is_cut_off_counts_once(make_harness):
    """The worker lives on and lists the same failure to the next owner."""
    harness = make_harness(workers=1, max_attempts=2)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(100)
    for run in harness.workers["w0"].running.values():
        run.how = "failed"
    begin_outage(harness)
    harness.run(2_000)
    replace_owner(harness)
    harness.run(STANDSTILL_BOUND_MS)
    assert harness.job(JOB).steps[0].tasks[0].failures == 1
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def submit_jobs(harness, count):
    for number in range(count):
        steps = (
            {"count": 2, "cpu_milli": 1_000, "estimated_ms": 800},
            {"count": 2, "cpu_milli": 1_000, "estimated_ms": 800, "after": (0,)},
        )
        harness.submit(f"{number:016x}", job_spec(*steps))


def longest_standstill_ms(harness, jobs):
    """Let jobs end; return the longest time that one of them ran nothing."""
    idle_since_ms, longest_ms = {}, 0.0
    for _ in range(300):
        harness.run(50)
        running = {task.split(".")[0] for task, _ in harness.running()}
        for job in jobs:
            if not job.is_live or job.job_id in running:
                idle_since_ms.pop(job.job_id, None)
                continue
            since_ms = idle_since_ms.setdefault(job.job_id, harness.now)
            longest_ms = max(longest_ms, harness.now - since_ms)
    assert all(job.visible_state is JobState.SUCCEEDED for job in jobs)
    return longest_ms


@pytest.mark.parametrize("seed", range(60))
def test_no_job_stands_still_after_an_outage_with_another_owner(make_harness, seed):
    """Workers that leave, an outage and a new owner, at moments drawn at random.

    What died with a worker, unheard, has to wait until its lease is certainly over: a
    worker that is cut off instead would run it on.
    """
    rng = random.Random(seed)
    harness = make_harness(workers=24)
    for worker in harness.workers.values():
        worker.work_ms = rng.uniform(400.0, 3_000.0)
    submit_jobs(harness, 24)
    leaving = rng.sample(sorted(harness.workers), 8)
    harness.run(rng.uniform(50.0, 400.0))
    say_that_they_leave(harness, leaving, leaves_in_ms=4_000)
    begin_outage(harness)
    for_ms = rng.uniform(1_000.0, 6_000.0)
    left_after_ms = rng.uniform(0.5, 1.0) * for_ms
    harness.run(left_after_ms)
    struck = leave(harness, leaving)
    harness.run(for_ms - left_after_ms)
    replace_owner(harness)
    jobs = harness.cell.context.jobs.values()
    others = [job for job in jobs if job.job_id not in struck]
    assert longest_standstill_ms(harness, others) < STANDSTILL_BOUND_MS
