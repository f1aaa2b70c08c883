"""Drawn cases of workers that leave around a store outage with a change of owner."""

import random

from attrs import evolve, frozen

from .harness import job_spec
from .virtual_worker import VirtualWorker

__all__ = ["OutageCase", "end_owner", "longest_idle_ms", "play"]

WORKERS = 24
LEAVING_WORKERS = 8
JOBS = 24
TWO_STEPS = (
    {"count": 2, "cpu_milli": 1_000, "estimated_ms": 800},
    {"count": 2, "cpu_milli": 1_000, "estimated_ms": 800, "after": (0,)},
)
# When the outage begins, or would.
OUTAGE_AT_MS = 4_000.0
JOBS_FROM_MS = 1_500.0
LEAVES_FROM_MS = 3_500.0
AFTER_TAKEOVER_MS = 15_000.0


@frozen(kw_only=True)
class OutageCase:
    """Describe a case; its moments are drawn from the seed.

    `new_machine` is whether the workers that replace the leaving ones come on other
    machines, when those leave, or on the same ones, after that. An owner whose end
    `is_planned` announces its run ends. Without an outage runs last longer, and the
    last worker that leaves ends between the owner's end and the takeover.
    """

    seed: int
    new_machine: bool
    is_planned: bool = False
    has_outage: bool = True


def play(harness, case):
    """Play a case; return the jobs that the successor knows, and when it took over."""
    rng = random.Random(case.seed)
    for worker in harness.workers.values():
        worker.work_ms = rng.uniform(400.0, 3_000.0 if case.has_outage else 6_000.0)
    events = []
    for entry in rng.sample(harness.entries, LEAVING_WORKERS):
        says_ms = OUTAGE_AT_MS - rng.uniform(0.0, LEAVES_FROM_MS)
        gone_ms = says_ms + rng.uniform(3_000.0, 4_500.0)
        leaves_in_ms = int(rng.uniform(4_000.0, 9_000.0))
        comes_ms = says_ms if case.new_machine else gone_ms + rng.uniform(100.0, 800.0)
        events += [
            (says_ms, announce_leave, (harness, entry.worker_id, leaves_in_ms)),
            (gone_ms, end_worker, (harness, entry.worker_id)),
            (comes_ms, replace_worker, (harness, entry, case.new_machine)),
        ]
    for number in range(JOBS):
        at_ms = OUTAGE_AT_MS - rng.uniform(0.0, JOBS_FROM_MS)
        events.append((at_ms, submit_job, (harness, f"{number:016x}")))
    takeover_delay_ms = rng.uniform(50.0, 900.0)
    if case.has_outage:
        owner_ends_ms = OUTAGE_AT_MS + rng.uniform(0.0, 1_500.0)
        outage_ends_ms = OUTAGE_AT_MS + rng.uniform(3_000.0, 6_000.0)
        taken_over_ms = outage_ends_ms + takeover_delay_ms
        events.append((OUTAGE_AT_MS, set_store_down, (harness, True)))
        events.append((outage_ends_ms, set_store_down, (harness, False)))
    else:
        last_ends_ms = max(row[0] for row in events if row[1] is end_worker)
        owner_ends_ms = last_ends_ms - rng.uniform(0.0, takeover_delay_ms)
        taken_over_ms = owner_ends_ms + takeover_delay_ms
    events.append((owner_ends_ms, end_owner, (harness, case.is_planned)))
    events.append((taken_over_ms, harness.take_over, ()))
    for at_ms, action, arguments in sorted(events, key=lambda event: event[0]):
        if at_ms > harness.now:
            harness.env.run(until=at_ms)
        action(*arguments)
    harness.run(AFTER_TAKEOVER_MS)
    return list(harness.cell.context.jobs.values()), taken_over_ms


# Events ------------------------------------------------------------------------


def announce_leave(harness, worker_id, leaves_in_ms):
    """Let a worker say that it leaves."""
    harness.publish_worker_list(
        [
            evolve(entry, draining=True, leaves_in_ms=leaves_in_ms)
            if entry.worker_id == worker_id
            else entry
            for entry in harness.entries
        ]
    )


def end_worker(harness, worker_id):
    """End a worker as planned: its runs are dead, its entry is gone."""
    harness.workers[worker_id].end_incarnation(harness.now)
    harness.publish_worker_list(
        [entry for entry in harness.entries if entry.worker_id != worker_id]
    )


def replace_worker(harness, entry, new_machine):
    """List a worker that replaces the one of an entry, on another or its machine."""
    new_id = f"{entry.worker_id}+"
    machine_id = f"m-{new_id}" if new_machine else entry.machine_id
    harness.workers[new_id] = VirtualWorker(
        worker_id=new_id, work_ms=harness.workers[entry.worker_id].work_ms
    )
    harness.capacity_history[new_id] = [(float("-inf"), entry.cpu_milli)]
    harness.publish_worker_list(
        [*harness.entries, evolve(entry, worker_id=new_id, machine_id=machine_id)]
    )


def submit_job(harness, job_id):
    harness.submit(job_id, job_spec(*TWO_STEPS))


def set_store_down(harness, is_down):
    """Begin or end an outage; an owner that is there notices it."""
    harness.store_down = harness.cell.context.is_store_unavailable = is_down


def end_owner(harness, is_planned):
    """End the owner at once, or as planned: it announces what is not stored."""
    if is_planned:
        harness.stop_owner()
    harness.is_owner_down = True


# Measures ----------------------------------------------------------------------


def longest_idle_ms(harness, job, since_ms):
    """Return the longest time after `since_ms` in which a job ran nothing.

    The workers' history tells it: whatever has ended or died there lets the job's next
    task run. The time after its last run counts unless the job is done.
    """
    free_ms, longest_ms = since_ms, 0.0
    runs = [
        run
        for worker in harness.workers.values()
        for run in worker.history
        if run.task.startswith(f"{job.job_id}.")
    ]
    for run in sorted(runs, key=lambda run: run.began_ms):
        longest_ms = max(longest_ms, run.began_ms - free_ms)
        free_ms = max(free_ms, harness.now if run.ended_ms is None else run.ended_ms)
    return max(longest_ms, harness.now - free_ms if job.is_live else 0.0)
