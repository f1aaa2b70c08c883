"""A step on a queue with advice waits for 520 s; then other jobs are handed in.

This is no case: it runs for 10 minutes, and a case may run for two. Its argument is a
folder for `record.txt`. WAITS_FOR=label (the default): the step needs the one worker
with a label, where a lasting task runs. WAITS_FOR=room: it needs more room than lasting
tasks leave on any worker. WAITS_FOR=nobody: it needs a label that no worker has, so it
can never be done. With TROUBLE=0 the step that waits isn't handed in.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

import standin_3 as standin

ADVICE = {"decision_ms": 20.0, "per_item_ms": 0.3, "valid_ms": 2500}
SMALL = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimated_ms": 500}
LASTING, WAITING = "00000000000000e1", "00000000000000e2"
# The lasting and the waiting step.
STEPS = {
    "label": (
        {"count": 1, "cpu": 15_500, "requires": "special"},
        {**SMALL, "requires": "special"},
    ),
    "nobody": (
        {"count": 6, "cpu": 2000, "anti_affinity": 1},
        {**SMALL, "requires": "nobody"},
    ),
    "room": (
        {"count": 6, "cpu": 2000, "anti_affinity": 1},
        {**SMALL, "count": 4, "cpu": 15_000},
    ),
}
# When jobs are handed in, in seconds from the acceptance of the one that waits.
PROBES_S = (2.0, 300.0, 500.0, 525.0)
# The rule allows 3 s without a run beside room, in calm; this is far more.
WAIT_S = 15.0


async def case(site, trouble):
    """Return whether each job begins to run beside the one that waits."""
    lasting, waiting = STEPS[os.environ.get("WAITS_FOR", "label")]
    lasting = {**SMALL, **lasting, "long_running": True}
    started = []
    for number in range(6):
        labels = ("a", "special") if number == 0 else ("a",)
        worker = site.add_worker(number, work_ms=work_ms, labels=labels)
        worker.on_start = lambda worker, run: started.append(run.task)
    routes = (
        standin.route(advice=ADVICE),
        standin.route(name="r-2", path_prefix="/plain/"),
    )
    if not await site.start(*routes):
        return None
    advised = standin.Client(site.daemons, site.record)
    plain = standin.Client(site.daemons, site.record, prefix="/plain/")
    await advised.submit(LASTING, {"spec": "x", "steps": [lasting]})
    if not await begins(started, LASTING, 10.0):
        return None
    if trouble:
        await advised.submit(WAITING, {"spec": "x", "steps": [waiting]})
    accepted_ms = standin.now_ms()
    held = True
    for number, at_s in enumerate(PROBES_S):
        await asyncio.sleep(at_s - (standin.now_ms() - accepted_ms) / 1000.0)
        held &= await probe(site, advised, f"00000000000000a{number}", started)
        held &= await probe(site, plain, f"00000000000000b{number}", started)
    running = sum(
        task.startswith(LASTING)
        for worker in site.workers
        for task, _ in worker.running
    )
    site.record.write(f"lasting tasks that run: {running} of {lasting['count']}")
    held &= running == lasting["count"]
    if trouble:
        await advised.cancel(WAITING)
        await asyncio.sleep(5.0)
        for number in range(2, len(PROBES_S)):
            state = await advised.state(f"00000000000000a{number}")
            site.record.write(f"5 s after the cancel: a{number} is {state}")
    return held


async def probe(site, client, job_id, started):
    """Hand a job in; return whether it begins to run."""
    calls, sent_ms = site.advice.calls, standin.now_ms()
    status = await client.submit(job_id, {"spec": "x", "steps": [SMALL]})
    began = await begins(started, job_id, WAIT_S)
    site.record.write(
        f"job {job_id}: status {status}, began: {began},"
        f" {standin.now_ms() - sent_ms:.0f} ms,"
        f" {site.advice.calls - calls} calls for advice"
    )
    return began


def work_ms(task):
    """Return how long a task works."""
    return 3_600_000.0 if task.startswith(LASTING) else 300.0


async def begins(started, job_id, for_s):
    """Return whether a task of a job starts within some time."""
    until_ms = standin.now_ms() + 1000.0 * for_s
    while standin.now_ms() < until_ms:
        if any(task.startswith(job_id) for task in started):
            return True
        await asyncio.sleep(0.05)
    return False


if __name__ == "__main__":
    standin.main(case, limit_s=700.0)
