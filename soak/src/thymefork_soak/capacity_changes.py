"""Workers whose capacity shrinks and grows while they run tasks."""

import asyncio

__all__ = ["CapacityChanges"]

# Tasks take 0.5 or 0.8 of a core.
CAPACITIES_CPU_MILLI = (0, 1_000, 2_000, 4_000, 8_000)
FULL_CPU_MILLI = 8_000


class CapacityChanges:
    """Change the capacity of random workers, then restore it."""

    def __init__(self, *, fleet, random, workers):
        self._fleet = fleet
        self._random = random
        self._workers = workers

    async def run(self, until_s, now):
        """Change capacities until the given time."""
        while now() < until_s:
            await asyncio.sleep(self._random.choice((0.5, 1.0, 3.0)))
            worker = self._random.randrange(self._workers)
            await self._resize(worker, self._random.choice(CAPACITIES_CPU_MILLI))
        for worker in range(self._workers):
            await self._resize(worker, FULL_CPU_MILLI)

    async def _resize(self, worker, cpu_milli):
        await self._fleet.control("resize", {"worker": worker, "cpu_milli": cpu_milli})
