"""More than 500 short tasks end on each worker while the store is down.

`/hold` lists 500 ends at once. The rule TWICE is checked: no start of a task after a
run of it ended `done`, where that end is taken note of and the lease of its worker has
not run out in between.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import TROUBLE, Deployment, configuration, now_ms, run  # noqa: E402

JOB_ID, HOST = "5c0e7a21d94b36f8", "jobs.example"
PATH = f"/batch/{JOB_ID}"
TIMES, COUNT, INTERVAL_MS, WORK_MS = 8, 300, 500, 12_000
TASKS = TIMES * COUNT
OUTAGE_S = 5.5


def plan(task, run_id):
    """Return how a run ends, its work in ms, and whether it keeps checkpoints."""
    return "done", WORK_MS, False


def starts_after_done(workers):
    """Return (task, run, worker, done run, ms between) for each broken start."""
    done, broken = {}, []
    for worker in workers:
        for what, task, run_id, at_ms, how, number in worker.history:
            if what == "end" and how == "done":
                noted = worker.noted_ms(number, at_ms) is not None
                done.setdefault(task, []).append((at_ms, run_id, noted))
    for worker in workers:
        for what, task, run_id, at_ms, _, _ in worker.history:
            if what != "start":
                continue
            for done_ms, done_run, noted in done.get(task, ()):
                if noted and done_run != run_id and at_ms > done_ms:
                    gap_ms = round(at_ms - done_ms)
                    broken.append((task, run_id, worker.worker_id, done_run, gap_ms))
    return broken


async def main():
    """Play the case; return whether the rule was broken."""
    fleet = Deployment(FOLDER, daemons=3, workers=2, plan=plan)
    record, store = fleet.record, fleet.store
    try:
        await fleet.start(configuration(1, {"batch": {}}))
        job = {
            "spec": "review",
            "repeat_count": TIMES,
            "interval_ms": INTERVAL_MS,
            "start_at_ms": round(time.time() * 1_000) + 1_000,
            "steps": [
                {"count": COUNT, "cpu": 10, "mem_mb": 10, "estimated_ms": WORK_MS}
            ],
        }
        if not await fleet.submit(PATH, HOST, job):
            raise RuntimeError("the job was not accepted")
        until_ms = now_ms() + 40_000
        while not any(row[4] == "done" for w in fleet.workers for row in w.history):
            if now_ms() > until_ms:
                raise RuntimeError("no task was done")
            await asyncio.sleep(0.05)
        running = [len(worker.running) for worker in fleet.workers]
        record.say(f"the first task is done; running on the workers: {running}")
        if TROUBLE:
            store.go_down()
            record.say(f"the store is down for {OUTAGE_S} s")
            await asyncio.sleep(OUTAGE_S)
            ends = [w.history[-1][5] - w.last_seen for w in fleet.workers]
            store.come_back()
            record.say(f"the store is back; ends not yet taken note of: {ends}")
        until_ms, state = now_ms() + 30_000, ""
        while now_ms() < until_ms and state != "succeeded":
            state = await fleet.state(PATH, HOST)
            await asyncio.sleep(0.5)
        record.say(f"client: GET {PATH} -> {state}")
        await asyncio.sleep(2.0)
        starts = sum(r[0] == "start" for w in fleet.workers for r in w.history)
        broken = starts_after_done(fleet.workers)
        record.say(f"{TASKS} tasks, {starts} starts on the workers")
        for worker in fleet.workers:
            at = [round(record.seconds(lapse), 2) for lapse in worker.lapses]
            seen = [
                (round(record.seconds(n), 2), last) for n, last in worker.notes[-12:]
            ]
            record.write(f"{worker.worker_id}: lease ran out at {at}, last_seen {seen}")
        for task, run_id, worker_id, done_run, gap_ms in broken[:20]:
            record.write(
                f"TWICE: {task} run {run_id} started on {worker_id} {gap_ms} ms after "
                f"run {done_run} had ended done, which was taken note of"
            )
        record.say(f"TWICE: {len(broken)} starts after an end `done` taken note of")
        return bool(broken)
    finally:
        fleet.stop()


run(main)
