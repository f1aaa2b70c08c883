"""A job with many small tasks is cancelled, beside the tasks of others."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_2 import (  # noqa: E402 - needs the path
    BOUNDS,
    FRONT_PORT,
    QUEUE_PREFIX,
    call,
    run_case,
)

WORKERS, DAEMONS = 6, 3
# A worker's 16 cores hold that many tasks, and a task of each of four other jobs. One
# job of five is cancelled: 0.2, where the site file's share for that is 0.25.
TASKS, CPU = 150, 100
OTHER_JOBS, OTHER_CPU = 4, 250
# How long a stop takes; the pages allow stop_timeout_ms, 200.
STOP_MS = float(os.environ.get("STOP_MS", "150"))
CANCEL_MS = 3000
ALLOWED_S = (CANCEL_MS + BOUNDS["stop_timeout_ms"]) / 1000


async def scenario(world, trouble):
    """Return how tasks ran on after a cancel, an empty text if none did."""
    for _ in range(WORKERS):
        world.add_worker(stop_ms=STOP_MS)
    for _ in range(DAEMONS):
        world.add_daemon()
    await world.start()
    other = {"count": WORKERS, "cpu": OTHER_CPU, "mem_mb": 64, "estimated_ms": 40_000}
    other["anti_affinity"] = 1
    for _ in range(OTHER_JOBS):
        await world.submit([other])
    await asyncio.sleep(1.0)
    step = {"count": TASKS, "cpu": CPU, "mem_mb": 64, "estimated_ms": 20_000}
    job_id, answers = await world.submit([step])
    if answers[-1] != 200:
        raise RuntimeError(f"the job was not accepted: {answers}")
    for _ in range(100):
        if _running(world, job_id) == TASKS:
            break
        await asyncio.sleep(0.1)
    if _running(world, job_id) < TASKS:
        raise RuntimeError("the job did not start whole")
    await asyncio.sleep(1.0)
    if not trouble:
        shown = await world.wait_for(job_id, ("succeeded", "failed"), 30)
        return "" if shown == "succeeded" else f"LOST: {job_id} is shown as {shown}"
    acknowledged_s = await _cancel(world, job_id)
    while _running(world, job_id) and world.now() < acknowledged_s + 30:
        await asyncio.sleep(0.02)
        if world.now() > acknowledged_s + ALLOWED_S and not world.twice:
            left = _running(world, job_id)
            world.twice.append(f"{left} of {TASKS} tasks ran on")
            world.record(f"{ALLOWED_S} s after the acknowledgement {left} tasks run")
    last_s = world.now() - acknowledged_s
    world.record(f"the last task ended {last_s:.1f} s after the acknowledgement")
    if not world.twice:
        return ""
    return (
        f"UNASKED: {world.twice[0]} {ALLOWED_S} s after the acknowledgement of their "
        f"job's cancelling, the last for {last_s:.1f} s"
    )


def _running(world, job_id):
    return sum(
        task.startswith(job_id)
        for worker in world.workers
        for task, _ in worker.running
    )


async def _cancel(world, job_id):
    """Cancel a job; return when that was acknowledged."""
    daemon = world.daemons[0]
    for _ in range(10):
        path = QUEUE_PREFIX + job_id
        status, _ = await call(daemon.host, FRONT_PORT, "DELETE", path)
        world.record(f"DELETE {job_id} at daemon 1: {status}")
        if status == 200:
            return world.now()
        await asyncio.sleep(0.3)
    raise RuntimeError("the cancel was not acknowledged")


if __name__ == "__main__":
    sys.exit(run_case(scenario, FOLDER))
