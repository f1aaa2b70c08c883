"""Caller whose jobs run until it cancels them."""

import asyncio
import contextlib

from .callers import RETRY_DELAY_S, Caller, SubmittedJob

__all__ = ["LongRunningCaller"]

MAX_KEEP_S = 8.0


class LongRunningCaller(Caller):
    """Run one long-running job at a time; retry its cancel until acknowledged.

    With `stays`, it keeps its first job, which is watched for standstills and has at
    most one task on a worker.
    """

    def __init__(self, *, fleet, random, account="", stays=False):
        super().__init__(fleet=fleet, random=random, account=account)
        self._stays = stays
        self._leaving = asyncio.Event()

    def leave(self):
        """Cancel the current job now and submit no other."""
        self._leaving.set()

    async def run(self):
        """Submit and cancel jobs until `leave` is called."""
        while not self._leaving.is_set():
            job_id = f"{self._random.getrandbits(64):016x}"
            submitted = SubmittedJob(job_id=job_id, long_running=True)
            self.submitted_jobs.append(submitted)
            await self._submit(submitted)
            if submitted.accepted:
                await self._keep(submitted)
                while not await self.cancel(submitted):
                    await asyncio.sleep(RETRY_DELAY_S)

    async def _keep(self, submitted):
        if self._stays:
            await self._fleet.control("watch", {"id": submitted.job_id})
            await self._leaving.wait()
            await self._fleet.control("unwatch", {"id": submitted.job_id})
            return
        keep_s = self._random.uniform(0.3, MAX_KEEP_S)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._leaving.wait(), keep_s)

    async def _submit(self, submitted):
        count = self._random.randint(1, 3)
        step = {"count": count, "cpu": 500, "mem_mb": 64, "long_running": True}
        if self._stays:
            step["anti_affinity"] = 1
        job = {"spec": f"text {self._random.random()}", "steps": [step]}
        await self._announce_job(submitted, job)
        # A job whose outcome is unknown may run, so it is submitted until accepted;
        # only one that was always refused may be given up.
        while not submitted.accepted:
            status = await self.call("POST", submitted.job_id, job)
            submitted.answers.append(status)
            submitted.accepted = status == 200
            submitted.always_refused &= status in (429, 503)
            if submitted.always_refused and self._leaving.is_set():
                return
            if not submitted.accepted:
                await asyncio.sleep(RETRY_DELAY_S)
