"""Accepted schedules, of which nothing is due for an hour, stop all other work."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import standin_3 as standin

LASTING = "ffffffffffffffff"
LASTING_TASKS = 6
# Each runs once a minute for a day, in two steps of one task.
TIMES, INTERVAL_MS, DUE_IN_MS = 1_440, 60_000, 3_600_000
MAX_SCHEDULES = 60
# No more are handed in once the system has accepted none for this long.
PATIENCE_S = 9.0
# In this time nothing is sent.
CALM_S = 20.0
# "The last applies to each task that lasts, from 6 s after its last run", if the 3 s
# without a run and the 4 s before them are calm.
IDLE_S = 6.0 + 4.0 + 3.0


class Lasting:
    """Note which lasting tasks are at work, and since when the others are not."""

    def __init__(self, record):
        self.at_work = set()
        self.ended_s = {}
        self._record = record

    def on_start(self, worker, run):
        """Take note of a run that begins."""
        if run.task.startswith(LASTING):
            self.at_work.add(run.task)
            self.ended_s.pop(run.task, None)

    def on_end(self, worker, run, how):
        """Take note of a run that ends."""
        if run.task.startswith(LASTING):
            self.at_work.discard(run.task)
            self.ended_s[run.task] = self._record.seconds()

    def idle_for_s(self):
        """Return for how long each task that is not at work has had no run."""
        now_s = self._record.seconds()
        return {task: round(now_s - at_s, 1) for task, at_s in self.ended_s.items()}


async def case(site, trouble):
    """Return whether the lasting tasks are at work beside the schedules."""
    lasting = Lasting(site.record)
    for number in range(LASTING_TASKS):
        worker = site.add_worker(number, work_ms=lambda task: 10_000_000.0)
        worker.on_start, worker.on_end = lasting.on_start, lasting.on_end
    if not await site.start(standin.route()):
        return None
    client = standin.Client(site.daemons, site.record)
    step = {"count": LASTING_TASKS, "cpu": 500, "mem_mb": 64, "long_running": True}
    if await client.submit(LASTING, {"spec": "x", "steps": [step]}) != 200:
        return None
    await asyncio.sleep(3.0)
    if len(lasting.at_work) < LASTING_TASKS:
        return None
    if trouble:
        await hand_in_schedules(site, client)
    await asyncio.sleep(CALM_S)
    idle_s = lasting.idle_for_s()
    site.record.write(f"lasting tasks without a run, for s: {idle_s}")
    site.record.write(f"the lasting job is shown as {await client.state(LASTING)!r}")
    lost = [task for task, for_s in idle_s.items() if for_s > IDLE_S]
    for task in lost:
        site.record.write(f"LOST: {task} has no run beside idle workers")
    return not lost


async def hand_in_schedules(site, client):
    """Hand in schedules, one after the other, until they are no longer accepted."""
    begin = int(time.time() * 1000) + DUE_IN_MS
    steps = [{"count": 1, "cpu": 500, "mem_mb": 64, "estimated_ms": 400}]
    steps.append({**steps[0], "after": [0]})
    times = {"repeat_count": TIMES, "start_at_ms": begin, "interval_ms": INTERVAL_MS}
    document = {"spec": "x", "steps": steps, **times}
    accepted, last_s = 0, site.record.seconds()
    while accepted < MAX_SCHEDULES and site.record.seconds() - last_s < PATIENCE_S:
        status = await client.submit(f"{accepted:016x}", document, for_s=0.0)
        if status == 200:
            accepted, last_s = accepted + 1, site.record.seconds()
        await asyncio.sleep(0.3)
    site.record.write(f"{accepted} schedules were accepted; nothing more is sent")


if __name__ == "__main__":
    standin.main(case)
