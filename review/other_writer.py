"""What the cases with an entry of another writer have in common."""

import asyncio

WORKERS, DAEMONS = 6, 3
# A job with room whose task's turn has come may run nothing for 3 s; this is waited.
WAIT_S = 14.0


async def write_entry(world, key, **fields):
    """Let another service's agent write an entry of its own among the workers'."""
    entry = {
        "service": "agents",
        "address": await world.add_other(),
        "zone": "bog-norte",
        "version": "v3",
        "slots": 1,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": 0, "mem_mb": 0, "gpus": 0},
        "labels": [],
        "seq": 1,
    }
    world.write_other_entry(key, entry | fields)


async def second_step_starts(world, key):
    """Return how the second step of a job was lost, an empty text if it was not.

    The entry comes while the first step runs; without a key, none comes.
    """
    for _ in range(WORKERS):
        world.add_worker()
    for _ in range(DAEMONS):
        world.add_daemon()
    await world.start()
    step = {"count": 4, "cpu": 1000, "mem_mb": 256, "estimated_ms": 5000}
    job_id, answers = await world.submit([step, step | {"after": [0]}])
    if answers[-1] != 200:
        raise RuntimeError(f"the job was not accepted: {answers}")
    await asyncio.sleep(1.0)
    if key is not None:
        await write_entry(world, key)
    await _until_done(world, f"{job_id}.0.0.", 4)
    since_s = world.now()
    while world.now() < since_s + WAIT_S:
        await asyncio.sleep(0.5)
        if _starts(world, f"{job_id}.0.1."):
            break
    if not _starts(world, f"{job_id}.0.1."):
        waited_s = world.now() - since_s
        shown = await world.state(job_id)
        _, answers = await world.submit([step])
        return (
            f"LOST: {job_id}, accepted, ran nothing for {waited_s:.1f} s, though the "
            f"turn of its second step had come and {WORKERS} workers were empty; it is "
            f"shown as {shown}, another job was answered {answers}"
        )
    shown = await world.wait_for(job_id, ("succeeded", "failed"), 20)
    return "" if shown == "succeeded" else f"LOST: {job_id} is shown as {shown}"


def _starts(world, prefix):
    return sum(task.startswith(prefix) for _, task, _, _ in world.starts)


async def _until_done(world, prefix, count):
    for _ in range(300):
        done = {
            task
            for _, task, _, how, _ in world.ends
            if how == "done" and task.startswith(prefix)
        }
        if len(done) == count:
            return
        await asyncio.sleep(0.1)
    raise RuntimeError("the first step did not end")
