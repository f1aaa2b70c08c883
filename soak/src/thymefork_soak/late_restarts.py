"""Late calls to workers, beside restarts of those workers under their ids."""

import asyncio
import signal

from attrs import frozen

from .standin.faulty_server import LATE_MS
from .standin.invariant_checker import RECONNECT_TIMEOUT_MS

__all__ = ["LateRestart", "LateRestartSettings", "LateRestarts"]

# Fraction of the calls to the worker that are carried out late.
LATE_SHARE = 0.6
LATE_FOR_S = (0.3, 2.3)
# At once, within a retry of the owner, or long enough to be taken for lost.
DOWNTIMES_MS = ((0.0, 0.0), (20.0, 500.0), (1_000.0, 2_500.0))
SECOND_RESTART_SHARE = 0.3
SECOND_RESTART_AFTER_S = (0.05, 0.8)
# Calls to the new incarnation are late as well in some of the faults.
LATE_AFTERWARDS_SHARE = 0.3
LATE_AFTERWARDS_S = (0.1, 0.6)
KILL_SHARE = 0.05
KILLED_FOR_S = (0.1, 1.5)


@frozen(kw_only=True)
class LateRestartSettings:
    """Set how often late restarts come, and how late calls are carried out."""

    interval_s: tuple[float, float] = (0.1, 0.4)
    late_ms: tuple[float, float] = LATE_MS


@frozen(kw_only=True)
class LateRestart:
    """Hold one drawn fault: late calls to a worker, then its restarts.

    A daemon is killed for `killed_for_s` unless that is 0; its number counts modulo
    those that run.
    """

    worker: int
    late_for_s: float
    downtimes_ms: tuple[float, ...]
    second_after_s: float
    late_afterwards_s: float
    killed_for_s: float
    killed_daemon: int


class LateRestarts:
    """Restart random workers under their ids while commands to them are on the way."""

    def __init__(self, *, fleet, random, workers, settings):
        self.history = []
        self._fleet = fleet
        self._random = random
        self._workers = workers
        self._settings = settings

    async def run(self, until_s, now):
        """Inject faults until the given time, then wait until all have ended."""
        running = []
        while now() < until_s:
            await asyncio.sleep(self._random.uniform(*self._settings.interval_s))
            fault = self.draw()
            self.history.append(f"{now():.1f} late restart of worker {fault.worker}")
            running.append(asyncio.ensure_future(self._carry_out(fault)))
        await asyncio.gather(*running)

    def draw(self):
        """Draw one fault as a whole, so that its timing changes no later draw."""
        restarts = 2 if self._random.random() < SECOND_RESTART_SHARE else 1
        return LateRestart(
            worker=self._random.randrange(self._workers),
            late_for_s=self._random.uniform(*LATE_FOR_S),
            downtimes_ms=tuple(
                self._random.uniform(*self._random.choice(DOWNTIMES_MS))
                for _ in range(restarts)
            ),
            second_after_s=self._random.uniform(*SECOND_RESTART_AFTER_S),
            late_afterwards_s=self._draw_for(LATE_AFTERWARDS_SHARE, LATE_AFTERWARDS_S),
            killed_for_s=self._draw_for(KILL_SHARE, KILLED_FOR_S),
            killed_daemon=self._random.getrandbits(16),
        )

    def _draw_for(self, share, range_s):
        is_drawn, for_s = self._random.random() < share, self._random.uniform(*range_s)
        return for_s if is_drawn else 0.0

    async def _carry_out(self, fault):
        await self._fleet.control("disturb", {"change": 1})
        try:
            await self._inject(fault)
            await asyncio.sleep(self._longest_late_s())
        finally:
            await self._fleet.control("disturb", {"change": -1})

    async def _inject(self, fault):
        target = str(fault.worker)
        late = {"late_share": LATE_SHARE, "late_ms": self._settings.late_ms}
        await self._fleet.control("fault", {"target": target, **late})
        await asyncio.sleep(fault.late_for_s)
        kill = asyncio.ensure_future(self._kill(fault))
        await self._restart(fault.worker, fault.downtimes_ms[0])
        for down_ms in fault.downtimes_ms[1:]:
            await asyncio.sleep(fault.downtimes_ms[0] / 1_000.0 + fault.second_after_s)
            await self._restart(fault.worker, down_ms)
        await asyncio.sleep(fault.late_afterwards_s)
        await self._fleet.control("fault", {"target": target})
        await kill

    async def _restart(self, worker, down_ms):
        notice = {"worker": worker, "down_ms": down_ms, "keeps_id": True}
        await self._fleet.control("crash", notice)

    async def _kill(self, fault):
        running = [daemon for daemon in self._fleet.daemons if not daemon.stopped]
        if fault.killed_for_s and running:
            daemon = running[fault.killed_daemon % len(running)]
            await daemon.restart(signal.SIGKILL, fault.killed_for_s)

    def _longest_late_s(self):
        """Return how long calls can be late beyond the time that the checker allows."""
        beyond_ms = self._settings.late_ms[1] - RECONNECT_TIMEOUT_MS
        return max(0.0, beyond_ms) / 1_000.0
