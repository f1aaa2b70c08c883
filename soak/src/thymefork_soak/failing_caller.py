"""Caller whose jobs consist of tasks that fail on every worker."""

import asyncio

from .callers import RETRY_DELAY_S, Caller, SubmittedJob

__all__ = ["FailingCaller"]

MIN_KEEP_S = 2.0
MAX_KEEP_S = 8.0


class FailingCaller(Caller):
    """Submit one failing job at a time; cancel it after some attempts."""

    async def run(self, until_s, now):
        """Submit jobs until the given time."""
        while now() < until_s:
            submitted = SubmittedJob(
                job_id=f"{self._random.getrandbits(64):016x}", failing=True
            )
            self.submitted_jobs.append(submitted)
            await self._submit(submitted)
            if submitted.accepted:
                await asyncio.sleep(self._random.uniform(MIN_KEEP_S, MAX_KEEP_S))
                while not await self.cancel(submitted):
                    await asyncio.sleep(RETRY_DELAY_S)

    async def _submit(self, submitted):
        step = {"count": self._random.randint(4, 8), "cpu": 500, "mem_mb": 64}
        job = {
            "spec": f"text {self._random.random()}",
            "steps": [{**step, "estimated_ms": 500}],
        }
        await self._announce_job(submitted, job, fails=True)
        while not submitted.accepted:
            status = await self.call("POST", submitted.job_id, job)
            submitted.answers.append(status)
            submitted.accepted = status == 200
            submitted.always_refused &= status in (429, 503)
            if submitted.always_refused and len(submitted.answers) > 4:
                return
            if not submitted.accepted:
                await asyncio.sleep(RETRY_DELAY_S)
