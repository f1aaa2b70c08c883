"""The workers of a rack crash under a repeated job of 3,000 tasks with checkpoints.

The rule LOST is checked on a second job, accepted before the crash: for 3 s it runs
nothing while a task's turn has come, there is capacity for it twice over, and under
half of the service's capacity is in use.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import TROUBLE, Deployment, configuration, now_ms, run  # noqa: E402

LARGE_ID, TIMED_ID, HOST = "5c0e7a21d94b36f8", "aa0e7a21d94b36f9", "jobs.example"
LARGE, TIMED = f"/batch/{LARGE_ID}", f"/batch/{TIMED_ID}"
TIMES, COUNT, CPU, WORK_MS, INTERVAL_MS = 10, 300, 42, 150_000, 1_000
TASKS = TIMES * COUNT
TIMED_TASKS, TIMED_CPU = 2, 500
WORKERS, CORES, RACKS = 24, 16, ("r1-1", "r1-2", "r1-3")
# The second job is due this long after the crash: leases of 10 s are over, too.
DUE_AFTER_S = 14.0
# Bounds of the rule and of the settings.
STANDS_STILL_S, FINISH_S, ACK_TIMEOUT_S = 3.0, 14.0, 4.0


def plan(task, run_id):
    """Return how a run ends, its work in ms, and whether it keeps checkpoints."""
    is_large = task.startswith(LARGE_ID)
    return "done", WORK_MS if is_large else 1_000, is_large


def running_of(workers, job_id):
    """Return how many tasks of a job run on workers that are up."""
    return sum(
        task.startswith(job_id)
        for worker in workers
        if worker.is_up
        for task, _ in worker.running
    )


def used_share(workers):
    """Return the share of the up workers' cores that tasks hold."""
    cores = sum(CORES for worker in workers if worker.is_up)
    held = CPU * running_of(workers, LARGE_ID)
    held += TIMED_CPU * running_of(workers, TIMED_ID)
    return held / (1_000 * cores)


async def submit_both(fleet):
    """Hand in the large job, wait until it runs, and hand in the timed one."""
    step = {"count": COUNT, "cpu": CPU, "mem_mb": 32, "estimated_ms": WORK_MS}
    large = {
        "spec": "large",
        "repeat_count": TIMES,
        "interval_ms": INTERVAL_MS,
        "start_at_ms": round(time.time() * 1_000) + 1_000,
        "steps": [{**step, "checkpoints": True, "affinity": RACKS[0]}],
    }
    if not await fleet.submit(LARGE, HOST, large):
        raise RuntimeError("the large job was not accepted")
    until_ms = now_ms() + 25_000
    while running_of(fleet.workers, LARGE_ID) < TASKS and now_ms() < until_ms:
        await asyncio.sleep(0.1)
    due_ms = now_ms() + 1_000 * DUE_AFTER_S
    step = {"count": TIMED_TASKS, "cpu": TIMED_CPU, "mem_mb": 64, "estimated_ms": 1_000}
    timed = {
        "spec": "timed",
        "repeat_count": 1,
        "interval_ms": 1_000,
        "start_at_ms": round(time.time() * 1_000 + due_ms - now_ms()),
        "steps": [step],
    }
    if not await fleet.submit(TIMED, HOST, timed):
        raise RuntimeError("the timed job was not accepted")
    return due_ms


async def main():
    """Play the case; return whether the rule was broken."""
    fleet = Deployment(
        FOLDER, daemons=3, workers=WORKERS, plan=plan, racks=RACKS, cores=CORES
    )
    record, workers = fleet.record, fleet.workers
    try:
        await fleet.start(configuration(1, {"batch": {}}))
        due_ms = await submit_both(fleet)
        record.say(f"running on the workers: {[len(w.running) for w in workers]}")
        if TROUBLE:
            for worker in workers:
                if worker.rack == RACKS[0]:
                    worker.crash()
            record.say(f"all {WORKERS // len(RACKS)} workers of {RACKS[0]} crash")
        began_ms, most_used = None, 0.0
        while now_ms() < due_ms + 1_000 * FINISH_S:
            await asyncio.sleep(0.1)
            if now_ms() < due_ms or began_ms is not None:
                continue
            most_used = max(most_used, used_share(workers))
            if any(
                row[0] == "start" and row[1].startswith(TIMED_ID)
                for worker in workers
                for row in worker.history
            ):
                began_ms = now_ms()
        still_s = ((began_ms or now_ms()) - due_ms) / 1_000
        record.say(f"running on the workers: {[len(w.running) for w in workers]}")
        record.say(f"at most {most_used:.0%} of the cores of up workers were in use")
        record.say(f"client: GET {TIMED} -> {await fleet.state(TIMED, HOST, 1)}")
        answers = []
        for number in range(4):
            path = f"/batch/bb0e7a21d94b36f{number}"
            job = {"spec": "late", "steps": [{"count": 1, "cpu": 100, "mem_mb": 8}]}
            answers.append((await fleet.call("POST", path, HOST, job, number))[0])
        record.say(f"client: POST of four more jobs -> {answers}")
        answers = []
        until_ms = now_ms() + 1_000 * ACK_TIMEOUT_S
        while not answers or (answers[-1] not in (200, 410) and now_ms() < until_ms):
            answers.append((await fleet.call("DELETE", LARGE, HOST))[0])
            await asyncio.sleep(0.5)
        record.say(f"client: DELETE {LARGE}, repeated for {ACK_TIMEOUT_S} s: {answers}")
        record.say(f"appends refused as too large: {fleet.store.refused_records}")
        record.say(
            f"LOST: the timed job ran nothing for {still_s:.1f} s after its due time; "
            f"over {STANDS_STILL_S} s break the rule"
        )
        return still_s > STANDS_STILL_S and most_used < 0.5
    finally:
        fleet.stop()


run(main)
