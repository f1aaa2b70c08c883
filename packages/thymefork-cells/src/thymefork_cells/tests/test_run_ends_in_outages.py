"""Guards against losing run ends that an owner receives during a store outage.

If the workers leave before the end of the outage, the next owner must not wait for
their leases or run the tasks again.
"""

import random

import pytest
from attrs import evolve

from thymefork_cells.state import JobState

from .command_transport import COMMAND_TIMEOUT_MS
from .harness import job_spec

JOB = "00000000000000aa"
# Longest time that a job may stall after the outage although it could run.
MAX_STALL_MS = 3_000.0
TWO_STEPS = (
    {"count": 4, "cpu_milli": 8_000, "estimated_ms": 800},
    {"count": 2, "cpu_milli": 8_000, "estimated_ms": 800, "after": (0,)},
)


def announce_departure(harness, worker_ids, leaves_in_ms):
    """Let workers announce their departure before the outage."""
    harness.load_worker_list(
        [
            evolve(entry, draining=True, leaves_in_ms=leaves_in_ms)
            if entry.worker_id in worker_ids
            else entry
            for entry in harness.entries
        ]
    )


def end_workers(harness, worker_ids):
    """End workers and remove their entries, which the owner can't read in the outage.

    Return the jobs with runs that were lost, or ended without a report.
    """
    affected = set()
    for worker_id in worker_ids:
        worker = harness.workers[worker_id]
        worker.advance(harness.now)
        received_end = harness.cell.context.workers[worker_id].received_end
        unreported = {row.task for row in worker.ended if row.number > received_end}
        unreported |= {task for task, _ in worker.running}
        affected |= {task.split(".")[0] for task in unreported}
        worker.running.clear()
        worker.is_unreachable = True
    harness.entries = [
        entry for entry in harness.entries if entry.worker_id not in worker_ids
    ]
    return affected


def begin_outage(harness):
    harness.store_down = harness.cell.context.is_store_unavailable = True


def replace_owner(harness):
    """End the outage at a takeover by another instance."""
    harness.is_owner_down = True
    harness.store_down = False
    harness.take_over()


def run_into_outage(harness, *, for_ms=2_000):
    """Let the first step end, and two workers leave, during an outage."""
    harness.submit(JOB, job_spec(*TWO_STEPS))
    harness.run(100)
    announce_departure(harness, ("w0", "w1"), leaves_in_ms=4_000)
    begin_outage(harness)
    harness.run(for_ms)
    end_workers(harness, ("w0", "w1"))
    harness.run(COMMAND_TIMEOUT_MS)


def starts_of_step(harness, step, count):
    return [len(harness.starts_of(f"{JOB}.0.{step}.{index}")) for index in range(count)]


def test_next_step_runs_after_workers_of_first_left(make_harness):
    harness = make_harness(workers=6)
    run_into_outage(harness)
    replace_owner(harness)
    harness.run(MAX_STALL_MS)
    assert starts_of_step(harness, 1, 2) == [1, 1]
    assert starts_of_step(harness, 0, 4) == [1, 1, 1, 1]
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


# An owner that ended within 200 ms after a run end had told nobody of it.
def test_end_received_just_before_the_owner_ends_is_not_lost(make_harness):
    harness = make_harness(workers=6)
    harness.submit(JOB, job_spec(*TWO_STEPS))
    harness.run(100)
    announce_departure(harness, ("w0", "w1"), leaves_in_ms=4_000)
    begin_outage(harness)
    tasks = harness.job(JOB).steps[0].tasks
    while not all(task.done for task in tasks):
        harness.run(10)
    harness.run(20)
    harness.is_owner_down = True
    harness.run(2_000)
    end_workers(harness, ("w0", "w1"))
    replace_owner(harness)
    harness.run(MAX_STALL_MS)
    assert starts_of_step(harness, 0, 4) == [1, 1, 1, 1]
    assert starts_of_step(harness, 1, 2) == [1, 1]


def test_received_ends_survive_two_takeovers(make_harness):
    """The second owner is replaced before it can store anything, too."""
    harness = make_harness(workers=6)
    run_into_outage(harness)
    harness.is_owner_down = True
    harness.take_over()
    begin_outage(harness)
    harness.run(500)
    replace_owner(harness)
    harness.run(MAX_STALL_MS)
    assert starts_of_step(harness, 1, 2) == [1, 1]
    assert starts_of_step(harness, 0, 4) == [1, 1, 1, 1]


def test_received_failure_counts_as_attempt(make_harness):
    harness = make_harness(workers=2, max_attempts=1)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(100)
    first = harness.starts_of(f"{JOB}.0.0.0")[0][0]
    worker = harness.workers[first]
    for run in worker.running.values():
        run.how = "failed"
    announce_departure(harness, (first,), leaves_in_ms=4_000)
    begin_outage(harness)
    harness.run(2_000)
    end_workers(harness, (first,))
    replace_owner(harness)
    harness.run(MAX_STALL_MS)
    assert harness.job(JOB).visible_state is JobState.FAILED
    assert len(harness.starts_of(f"{JOB}.0.0.0")) == 1


def test_end_reported_to_two_owners_counts_once(make_harness):
    """The worker reports the same failure to the next owner."""
    harness = make_harness(workers=1, max_attempts=2)
    harness.submit(JOB, job_spec({"count": 1, "cpu_milli": 500}))
    harness.run(100)
    for run in harness.workers["w0"].running.values():
        run.how = "failed"
    begin_outage(harness)
    harness.run(2_000)
    replace_owner(harness)
    harness.run(MAX_STALL_MS)
    assert harness.job(JOB).steps[0].tasks[0].failures == 1
    assert harness.job(JOB).visible_state is JobState.SUCCEEDED


def submit_jobs(harness, count):
    for number in range(count):
        steps = (
            {"count": 2, "cpu_milli": 1_000, "estimated_ms": 800},
            {"count": 2, "cpu_milli": 1_000, "estimated_ms": 800, "after": (0,)},
        )
        harness.submit(f"{number:016x}", job_spec(*steps))


def longest_stall_ms(harness, jobs):
    """Run until the jobs end; return the longest time that one of them was idle."""
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
def test_no_job_stalls_after_outage_and_takeover(make_harness, seed):
    """Runs lost without a report are exempt: they have to wait for their leases."""
    rng = random.Random(seed)
    harness = make_harness(workers=24)
    for worker in harness.workers.values():
        worker.work_ms = rng.uniform(400.0, 3_000.0)
    submit_jobs(harness, 24)
    leaving = rng.sample(sorted(harness.workers), 8)
    harness.run(rng.uniform(50.0, 400.0))
    announce_departure(harness, leaving, leaves_in_ms=4_000)
    begin_outage(harness)
    for_ms = rng.uniform(1_000.0, 6_000.0)
    left_after_ms = rng.uniform(0.5, 1.0) * for_ms
    harness.run(left_after_ms)
    affected = end_workers(harness, leaving)
    harness.run(for_ms - left_after_ms)
    replace_owner(harness)
    jobs = harness.cell.context.jobs.values()
    others = [job for job in jobs if job.job_id not in affected]
    assert longest_stall_ms(harness, others) < MAX_STALL_MS
