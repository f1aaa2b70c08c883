"""Caller whose jobs contain a task that crashes every worker that starts it."""

import asyncio

from .callers import RETRY_DELAY_S, Caller, SubmittedJob

__all__ = ["CrashingCaller"]

# Each job takes several workers down, so leave time for the other callers' jobs.
PAUSE_S = (5.0, 9.0)
# At once, soon after the start, or halfway through a short task.
CRASH_AFTER_MS = (0.0, 10.0, 300.0)


class CrashingCaller(Caller):
    """Submit jobs in which one task crashes its workers."""

    async def run(self, until_s, now):
        """Submit jobs until the given time."""
        while now() < until_s:
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
