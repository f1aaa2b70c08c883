"""Workers that leave and instances that are rolled while the store is away."""

import asyncio
import signal

__all__ = ["OutageRestarts"]

# A worker's word that it leaves is read by the owners before the store is gone.
TOLD_S = 0.8
# It leaves this long after, in the outage: the outages last 3 to 8 s.
LEAVES_AFTER_MS = (1_500.0, 4_000.0)
ROLLED_AFTER_S = (0.3, 2.5)
LEAVING = 2


class OutageRestarts:
    """Beside each outage, let some workers leave and roll an instance."""

    def __init__(self, *, fleet, random, workers):
        self._fleet = fleet
        self._random = random
        self._workers = workers

    async def begin(self):
        """Let workers say that they leave."""
        for worker in self._random.sample(range(self._workers), LEAVING):
            after_ms = self._random.uniform(*LEAVES_AFTER_MS)
            await self._fleet.control("leave", {"worker": worker, "after_ms": after_ms})
        await asyncio.sleep(TOLD_S)

    async def roll(self):
        """Stop or kill an instance after a while, and start it again."""
        number = self._random.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGKILL))
        await asyncio.sleep(self._random.uniform(*ROLLED_AFTER_S))
        running = [daemon for daemon in self._fleet.daemons if not daemon.stopped]
        if running:
            await self._random.choice(running).restart(number, 0.2)
