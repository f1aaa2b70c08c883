"""Workers that drain and instances that restart while the store is unavailable."""

import asyncio
import signal

__all__ = ["OutageRestarts"]

# Lets the owners read that a worker drains before the store becomes unavailable.
DRAIN_NOTICE_S = 0.8
# Within the outage, which lasts several seconds.
LEAVE_AFTER_MS = (1_500.0, 4_000.0)
RESTART_AFTER_S = (0.3, 2.5)
LEAVING_WORKERS = 2


class OutageRestarts:
    """Drain some workers and restart an instance around each outage."""

    def __init__(self, *, fleet, random, workers):
        self._fleet = fleet
        self._random = random
        self._workers = workers

    async def drain_workers(self):
        """Have some workers announce that they leave."""
        for worker in self._random.sample(range(self._workers), LEAVING_WORKERS):
            after_ms = self._random.uniform(*LEAVE_AFTER_MS)
            await self._fleet.control("leave", {"worker": worker, "after_ms": after_ms})
        await asyncio.sleep(DRAIN_NOTICE_S)

    async def restart_instance(self):
        """Restart an instance after a delay, by SIGTERM or SIGKILL."""
        signal_number = self._random.choice(
            (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL)
        )
        await asyncio.sleep(self._random.uniform(*RESTART_AFTER_S))
        running = [daemon for daemon in self._fleet.daemons if not daemon.stopped]
        if running:
            await self._random.choice(running).restart(signal_number, 0.2)
