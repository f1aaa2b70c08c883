"""A caller of jobs with a task that crashes each worker that starts it."""

import asyncio

from .callers import RETRY_DELAY_S, Caller, SubmittedJob

__all__ = ["CrashingCaller"]

# One job in so many seconds: each takes three of the workers away for a while, and the
# other callers' jobs stand beside it.
PAUSE_S = (5.0, 9.0)
# At once, as soon as it has begun, or halfway through a short task.
CRASH_AFTER_MS = (0.0, 10.0, 300.0)


class CrashingCaller(Caller):
    """Submit jobs of sound tasks beside one that crashes its workers."""

    async def work(self, until, now):
        """Submit jobs until a moment."""
        while now() < until:
            await self._submit()
            await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def _submit(self):
        submitted = SubmittedJob(
            job_id=f"{self._random.getrandbits(64):016x}", crashing=True
        )
        self.submitted_jobs.append(submitted)
        job = self._job()
        await self._announce_job(
            submitted,
            job,
            crashing_task=f"{submitted.job_id}.0.0.0",
            crashes_after_ms=self._random.choice(CRASH_AFTER_MS),
        )
        while not submitted.accepted:
            status = await self.call("POST", submitted.job_id, job)
            submitted.answers.append(status)
            submitted.accepted = status == 200
            submitted.always_refused &= status in (429, 503)
            if submitted.always_refused and len(submitted.answers) > 4:
                return
            if not submitted.accepted:
                await asyncio.sleep(RETRY_DELAY_S)

    def _job(self):
        step = {"count": self._random.randint(1, 3), "cpu": 500, "mem_mb": 64}
        if self._random.random() < 0.3:
            step["long_running"] = True
        else:
            step["estimated_ms"] = 500
        return {"spec": f"text {self._random.random()}", "steps": [step]}
