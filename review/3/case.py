"""The operator removes a route and puts it back while a job of it runs.

The rule LOST is checked: a job is shown as `failed` without cause, where only ends
`failed` count as attempts: `max_attempts` of them are the cause.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import TROUBLE, Deployment, configuration, now_ms, run  # noqa: E402

JOB_ID, HOST = "5c0e7a21d94b36f8", "jobs.example"
PATH = f"/batch/{JOB_ID}"
MAX_ATTEMPTS, WORK_MS, AWAY_S = 3, 6_000, 8.0
ROUTES = {"other": {}, "batch": {"max_attempts": MAX_ATTEMPTS}}


def plan(task, run_id):
    """The first run of task 0 fails by its own fault, all else is done."""
    how = "failed" if task.endswith(".0.0.0") and run_id == 1 else "done"
    return how, WORK_MS, False


async def main():
    """Play the case; return whether the rule was broken."""
    fleet = Deployment(FOLDER, daemons=3, workers=3, plan=plan)
    record, workers = fleet.record, fleet.workers
    try:
        await fleet.start(configuration(7, ROUTES))
        step = {"count": 4, "cpu": 500, "mem_mb": 64, "estimated_ms": WORK_MS}
        if not await fleet.submit(PATH, HOST, {"spec": "review", "steps": [step]}):
            raise RuntimeError("the job was not accepted")
        await asyncio.sleep(2.5)
        record.say(f"running on the workers: {[len(w.running) for w in workers]}")
        if TROUBLE:
            fleet.configure(configuration(9, {"other": {}}))
            await asyncio.sleep(AWAY_S)
            fleet.configure(configuration(14, ROUTES))
        until_ms, state = now_ms() + 30_000, ""
        while now_ms() < until_ms and state not in ("succeeded", "failed"):
            await asyncio.sleep(0.5)
            state = await fleet.state(PATH, HOST)
        record.say(f"client: GET {PATH} -> {state}")
        ends = [row for w in workers for row in w.history if row[0] == "end"]
        failed = {}
        for _, task, _, _, how, _ in ends:
            failed[task] = failed.get(task, 0) + (how == "failed")
        most = max(failed.values(), default=0)
        record.say(f"ends on the workers: {sorted(row[4] for row in ends)}")
        is_broken = state == "failed" and most < MAX_ATTEMPTS
        record.say(
            f"LOST: the job is shown as {state!r}; the most ends `failed` of a "
            f"task are {most}, max_attempts is {MAX_ATTEMPTS}"
        )
        return is_broken
    finally:
        fleet.stop()


run(main)
