"""A caller whose jobs last until it cancels them."""

import asyncio
import contextlib

from .callers import RETRY_S, Caller, JobStory

__all__ = ["LastingCaller"]

LONGEST_KEEP_S = 8.0


class LastingCaller(Caller):
    """Keep one lasting job at a time; cancel it until that is acknowledged."""

    def __init__(self, *, fleet, random, account=""):
        super().__init__(fleet=fleet, random=random, account=account)
        self._leaving = asyncio.Event()

    def leave(self):
        """Have the job that is kept cancelled now, and submit no other."""
        self._leaving.set()

    async def work(self):
        """Submit, keep and cancel jobs until told to leave."""
        while not self._leaving.is_set():
            job_id = f"{self._random.getrandbits(64):016x}"
            story = JobStory(job_id=job_id, lasting=True)
            self.stories.append(story)
            await self._submit(story)
            if story.accepted:
                keep_s = self._random.uniform(0.3, LONGEST_KEEP_S)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._leaving.wait(), keep_s)
                while not await self.cancel(story):
                    await asyncio.sleep(RETRY_S)

    async def _submit(self, story):
        count = self._random.randint(1, 3)
        step = {"count": count, "cpu": 500, "mem_mb": 64, "long_running": True}
        job = {"spec": f"text {self._random.random()}", "steps": [step]}
        await self._tell(story, job)
        # A job in doubt may run, so it is submitted until it is known to be accepted;
        # one that was refused each time never runs, and may be given up.
        while not story.accepted:
            status = await self.call("POST", story.job_id, job)
            story.answers.append(status)
            story.accepted = status == 200
            story.refused_only &= status in (429, 503)
            if story.refused_only and self._leaving.is_set():
                return
            if not story.accepted:
                await asyncio.sleep(RETRY_S)
