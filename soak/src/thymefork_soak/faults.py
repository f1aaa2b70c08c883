"""Random faults by a seed, which may overlap."""

import asyncio
import signal

__all__ = ["FaultInjector"]

# Leaves time for the other faults first.
FIRST_OUTAGE_S = 6.0
# Pause after an outage, covering the reconnect, cancel and stop timeouts, so that
# cancelled jobs are checked.
RECOVERY_S = 7.0
PROXY_MODES = ("silent", "one_way", "reset", "delay")


class FaultInjector:
    """Inject random faults into the processes and connections of a fleet."""

    def __init__(self, *, fleet, random, workers, restarts=None):
        self.history = []
        self._restarts = restarts
        self._fleet = fleet
        self._random = random
        self._workers = workers
        self._running = set()
        self._faults_allowed = asyncio.Event()
        self._faults_allowed.set()
        self._kinds = (
            self._kill,
            self._kill,
            self._kill_all,
            self._terminate,
            self._pause,
            self._cut_from_store,
            self._store,
            self._worker,
            self._worker_crash,
            self._configure,
            self._hang_up,
        )

    async def run(self, until_s, now):
        """Inject faults at random intervals, then wait until all have ended."""
        while now() < until_s:
            await asyncio.sleep(self._random.uniform(0.4, 2.0))
            await self._faults_allowed.wait()
            kind = self._random.choice(self._kinds)
            self.history.append(f"{now():.1f} {kind.__name__.strip('_')}")
            task = asyncio.ensure_future(self._carry_out(kind))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        await self._until_idle()

    async def run_outages(self, until_s, now, random):
        """Make the store unavailable and expire all worker entries, with pauses.

        The separate `random` keeps the other faults of a seed independent of outages.
        """
        await asyncio.sleep(FIRST_OUTAGE_S)
        while True:
            began = now()
            await self._carry_out(lambda: self._outage(random))
            self.history.append(f"{began:.1f} outage until {now():.1f}")
            if now() >= until_s:
                return
            self._faults_allowed.clear()
            await self._until_idle()
            await asyncio.sleep(RECOVERY_S)
            self._faults_allowed.set()
            await asyncio.sleep(random.uniform(0.5, 4.0))

    async def _outage(self, random):
        mode = random.choice(("silent", "silent", "busy", "reset"))
        if self._restarts is not None:
            await self._restarts.drain_workers()
        await self._fleet.control("outage", {"mode": mode})
        restart = (
            asyncio.ensure_future(self._restarts.restart_instance())
            if self._restarts
            else None
        )
        await asyncio.sleep(random.uniform(3.0, 8.0))
        await self._fleet.control("outage_end", {})
        if restart is not None:
            await restart

    async def _carry_out(self, fault):
        await self._fleet.control("disturb", {"change": 1})
        try:
            await fault()
        finally:
            await self._fleet.control("disturb", {"change": -1})

    async def _until_idle(self):
        while self._running:
            await asyncio.wait(set(self._running))

    def _daemon(self):
        running = [daemon for daemon in self._fleet.daemons if not daemon.stopped]
        return self._random.choice(running) if running else None

    async def _kill(self):
        daemon = self._daemon()
        if daemon is not None:
            await daemon.restart(signal.SIGKILL, self._random.uniform(0.1, 1.5))

    async def _kill_all(self):
        running = [daemon for daemon in self._fleet.daemons if not daemon.stopped]
        await asyncio.gather(*(d.restart(signal.SIGKILL, 0.4) for d in running))

    async def _terminate(self):
        daemon = self._daemon()
        if daemon is not None:
            await daemon.restart(signal.SIGTERM, 0.2)

    async def _pause(self):
        daemon = self._daemon()
        if daemon is not None:
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.5, 4.0))
            daemon.signal(signal.SIGCONT)

    async def _hang_up(self):
        daemon = self._daemon()
        if daemon is not None:
            daemon.write_settings()
            daemon.signal(signal.SIGHUP)

    async def _cut_from_store(self):
        daemon = self._random.choice(self._fleet.daemons)
        daemon.proxy.set_mode(self._random.choice(PROXY_MODES))
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        daemon.proxy.set_mode("")

    async def _store(self):
        fault = self._random.choice(
            (
                {"mode": "busy"},
                {"mode": "silent"},
                {"mode": "reset"},
                {"lose_share": 0.3},
                {"late_share": 0.2},
                {"delay_ms": 120.0},
            )
        )
        await self._inject("store", fault, self._random.uniform(0.5, 5.0))

    async def _worker(self):
        fault = self._random.choice(
            ({"mode": "silent"}, {"mode": "reset"}, {"late_share": 0.3})
        )
        target = str(self._random.randrange(self._workers))
        await self._inject(target, fault, self._random.uniform(0.5, 5.0))

    async def _inject(self, target, fault, for_s):
        await self._fleet.control("fault", {"target": target, **fault})
        await asyncio.sleep(for_s)
        await self._fleet.control("fault", {"target": target})

    async def _worker_crash(self):
        worker = self._random.randrange(self._workers)
        await self._fleet.control("crash", {"worker": worker})

    async def crash_worker(self):
        """Crash a random worker."""
        await self._carry_out(self._worker_crash)

    async def _configure(self):
        await self._fleet.configure(self._random.randint(1, 3))
