"""Tests of jobs cancelled with many tasks on a worker that takes long over stops."""

import asyncio
import random
import signal

import pytest
from attrs import frozen

from thymefork_soak.callers import Caller, SubmittedJob
from thymefork_soak.fleet import Fleet
from thymefork_soak.standin.advice import is_allowed

# Of the 200 ms that the pages allow.
STOP_MS = 150.0
# After the acknowledgement: 3 s to cancel and 0.2 s to stop.
ALLOWED_S = 3.2
# Disruptions count until this long after they have ended.
RECONNECT_S = 3.0
WORKER_CPU = 8_000
STAYING_CPU = 250
INSTANCES = 3


@frozen(kw_only=True)
class Case:
    """Describe the cancelled jobs, their workers, and what else happens."""

    tasks: int = 150
    jobs: int = 1
    stop_ms: float = STOP_MS
    answers_late: bool = True
    while_starting: bool = False
    kills_owner: bool = False


CASES = {
    "many tasks": Case(),
    "more tasks": Case(tasks=300),
    "answered before stopped": Case(answers_late=False),
    "longest stops": Case(stop_ms=195.0),
    "two jobs on two workers": Case(jobs=2),
    "while tasks start": Case(while_starting=True),
    "owner killed after the acknowledgement": Case(kills_owner=True),
}


class JobCaller(Caller):
    """Submit single jobs that last, whose tasks every worker may run."""

    def __init__(self, *, fleet, seed, workers):
        super().__init__(fleet=fleet, random=random.Random(seed))
        self._workers = workers

    async def submit(self, count, cpu_milli):
        """Submit a job until it is accepted."""
        submitted = SubmittedJob(job_id=self._allowed_id(), long_running=True)
        step = {"count": count, "cpu": cpu_milli, "mem_mb": 1, "long_running": True}
        job = {"spec": "text", "steps": [step]}
        await self._announce_job(submitted, job)
        while await self.call("POST", submitted.job_id, job) != 200:
            await asyncio.sleep(0.1)
        return submitted

    def _allowed_id(self):
        while True:
            job_id = f"{self._random.getrandbits(64):016x}"
            names = [f"m{number}-1" for number in range(self._workers)]
            if all(is_allowed(f"{job_id}.0.0", name) for name in names):
                return job_id


async def running(fleet, submitted):
    return (await fleet.control("running", {"id": submitted.job_id}))["runs"]


async def wait_until_running(fleet, submitted, count):
    for _ in range(400):
        if await running(fleet, submitted) >= count:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("the job did not start")


async def cancel_jobs(case, folder):
    """Return the violations that the simulated platform has seen."""
    fleet = Fleet(instances=INSTANCES, workers=case.jobs, seed=77, folder=folder)
    callers = [
        JobCaller(fleet=fleet, seed=number, workers=case.jobs)
        for number in range(case.jobs)
    ]
    try:
        await fleet.start()
        stopping = {"stop_ms": case.stop_ms, "answers_late": case.answers_late}
        await fleet.control("stopping", stopping)
        # Keeps the leases of the workers, which would end the cancelled runs.
        staying = await callers[0].submit(case.jobs, STAYING_CPU)
        await wait_until_running(fleet, staying, case.jobs)
        cpu_milli = (WORKER_CPU - 2 * STAYING_CPU) // case.tasks
        jobs = [await one.submit(case.tasks, cpu_milli) for one in callers]
        begun = case.tasks // 3 if case.while_starting else case.tasks
        for submitted in jobs:
            await wait_until_running(fleet, submitted, begun)
        rows = zip(callers, jobs, strict=True)
        assert all(await asyncio.gather(*(row[0].cancel(row[1]) for row in rows)))
        if case.kills_owner:
            await kill_owner(fleet, folder)
            await asyncio.sleep(RECONNECT_S)
        await asyncio.sleep(ALLOWED_S + 0.2)
        return (await fleet.control("verdict", {}))["broken"]
    finally:
        fleet.stop()


async def kill_owner(fleet, folder):
    await fleet.control("disturb", {"change": 1})
    owner = next(one for one in fleet.daemons if owns_cell(folder, one.name))
    owner.signal(signal.SIGKILL)
    await fleet.control("disturb", {"change": -1})


def owns_cell(folder, name):
    log = (folder / f"{name}.log").read_text()
    return log.rfind("ownership_gained") > log.rfind("ownership_lost")


# Guards against tasks of a cancelled job that run on because the stops to one worker
# wait for each other.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_tasks_of_cancelled_jobs_end_in_time_with_slow_stops(case, tmp_path):
    assert not asyncio.run(cancel_jobs(case, tmp_path))
