"""Process of the simulated platform, controlled by the soak test over HTTP."""

import random
import sys

import orjson

from thymefork_net import Address, steady_ms
from thymefork_net.http import HttpServer

from .advice import Advice, is_allowed
from .faulty_server import Faults, Loop
from .invariant_checker import InvariantChecker
from .stall_monitor import StallMonitor
from .standstill_checker import StandstillChecker
from .store import Store
from .worker import Worker
from .worker_run import Stopping

__all__ = ["main"]

HEARTBEAT_MS = 500.0
CHECK_INTERVAL_MS = 100.0
# Running workers are listed again within this time after an outage of the store.
RELIST_MS = 2_000.0
# An entry expires after three missed heartbeats.
ENTRY_TTL_MS = 3 * HEARTBEAT_MS
WORKERS_TOPIC = "keyed.servers"
# In place of infinity, which JSON cannot represent.
NEVER_MS = 1e15


class Platform:
    """Run the simulated services and handle the soak test's control requests."""

    def __init__(self, *, loop, host, first_port, speeds, seed):
        self._loop = loop
        self._checker = InvariantChecker()
        self._random = random.Random(f"{seed} relist")
        self.store = Store(loop=loop, host=host, port=first_port, seed=seed)
        self._advice = Advice(loop=loop, host=host, port=first_port + 1, seed=seed)
        self._control = HttpServer(
            sockets=loop.sockets,
            timers=loop.timers,
            address=Address(host=host, port=first_port + 2),
            on_request=self._on_control,
        )
        self._workers = [
            Worker(
                loop=loop,
                host=host,
                port=first_port + 3 + number,
                name=f"m{number}",
                incarnation=1,
                checker=self._checker,
                cpu_milli=8_000,
                seed=seed + number,
                random=random.Random(seed * 1_000 + number),
                speed=speed,
            )
            for number, speed in enumerate(speeds)
        ]
        self._standstills = StandstillChecker(
            checker=self._checker, workers=self._workers, is_allowed=is_allowed
        )
        self._listed_ids = {}
        self._published = {}
        self._unlisted = set()
        loop.timers.every(HEARTBEAT_MS, self._write_heartbeats)
        loop.timers.every(CHECK_INTERVAL_MS, self._check)
        StallMonitor(timers=loop.timers)

    def _write_heartbeats(self):
        for worker in self._workers:
            if worker in self._unlisted:
                continue
            old = self._listed_ids.get(worker.name)
            if worker.down_since_ms:
                self._expire_entry(worker, old)
                continue
            if old and old != worker.worker_id:
                self.store.put(WORKERS_TOPIC, old, None)
            published = (
                worker.worker_id,
                worker.born_epoch_ms,
                worker.cpu_milli,
                worker.draining,
            )
            if self._published.get(worker.name) != published or old != worker.worker_id:
                self.store.put(WORKERS_TOPIC, worker.worker_id, worker.entry())
                self._listed_ids[worker.name] = worker.worker_id
                self._published[worker.name] = published

    def _expire_entry(self, worker, entry):
        """Remove the entry of a worker that is down once its heartbeats are missing."""
        if entry and steady_ms() - worker.down_since_ms > ENTRY_TTL_MS:
            self.store.put(WORKERS_TOPIC, entry, None)
            del self._listed_ids[worker.name]

    def _check(self):
        self._checker.check_cancelled(steady_ms())
        self._standstills.check(steady_ms())

    def _on_control(self, request):
        body = orjson.loads(request.body or b"{}")
        document = getattr(self, "_" + request.path.strip("/"))(body)
        request.answer(200, orjson.dumps(document or {}))

    def _configure(self, body):
        limits = {
            row["name"]: row["max_items"]["cpu"] for row in body.get("tenants", ())
        }
        self._checker.on_limits(limits, steady_ms())
        self.store.put("keyed.op", "config", body)

    def _job(self, body):
        self._checker.jobs[body["id"]] = body["job"]
        self._checker.accounts[body["id"]] = body["account"]
        if body.get("fails"):
            self._checker.failing_jobs.add(body["id"])
        if "crashing_task" in body:
            after_ms = body["crashes_after_ms"]
            self._checker.crashes_after_ms[body["crashing_task"]] = after_ms

    def _fault(self, body):
        target, faults = body.pop("target"), Faults(**body)
        if target == "store":
            self.store.faulty_server.faults = faults
        else:
            self._workers[int(target)].faulty_server.faults = faults

    def _outage(self, body):
        self._listed_ids.clear()
        self._unlisted = set(self._workers)
        self.store.begin_outage(Faults(mode=body["mode"]), WORKERS_TOPIC)

    def _outage_end(self, body):
        self.store.end_outage(WORKERS_TOPIC)
        for worker in self._workers:
            self._loop.timers.after(
                self._random.uniform(0.0, RELIST_MS),
                lambda one=worker: self._relist(one),
            )

    def _relist(self, worker):
        if self.store.faulty_server.outage is None:
            self._unlisted.discard(worker)
            self._write_heartbeats()

    def _disturb(self, body):
        self._checker.on_fault(body["change"], steady_ms())

    def _calm(self, body):
        since_ms = (
            float("inf") if self._checker.faults else self._checker.stable_since_ms
        )
        return {"calm_since_ms": min(since_ms, NEVER_MS)}

    def _watch(self, body):
        self._standstills.watch(body["id"], steady_ms())

    def _unwatch(self, body):
        self._standstills.leave(body["id"])

    def _cancelled(self, body):
        self._checker.on_cancelled(body["id"], body["acknowledged_ms"])

    def _resize(self, body):
        self._workers[body["worker"]].resize(body["cpu_milli"])

    def _spoil(self, body):
        """Write an invalid entry, which the worker overwrites within two heartbeats."""
        if "worker" not in body:
            key = body["key"].encode("latin-1").decode(errors="surrogateescape")
            self.store.put_raw(WORKERS_TOPIC, key, body["value"].encode())
            return
        worker = self._workers[body["worker"]]
        if worker in self._unlisted or worker.down_since_ms:
            return
        self.store.put_raw(WORKERS_TOPIC, worker.worker_id, body["value"].encode())
        self._loop.timers.after(
            HEARTBEAT_MS, lambda: self._published.pop(worker.name, None)
        )

    def _stopping(self, body):
        for worker in self._workers:
            worker.stopping = Stopping(**body)

    def _running(self, body):
        """Return how many runs of a job are on all workers."""
        tasks = self._checker.running.items()
        return {
            "runs": sum(len(on) for task, on in tasks if task.startswith(body["id"]))
        }

    def _leave(self, body):
        self._workers[body["worker"]].leave(body["after_ms"])

    def _crash(self, body):
        self._workers[body["worker"]].crash(
            body.get("down_ms", 0.0), keeps_id=body.get("keeps_id", False)
        )

    def _verdict(self, body):
        self._check()
        return {
            "broken": self._checker.violations,
            "faults": self._checker.faults,
            "starts": self._checker.starts,
            "started_jobs": sorted(self._checker.started_jobs),
            "done": sorted(self._checker.done),
        }


def main():
    """Serve until killed.

    Arguments: HOST FIRST_PORT SEED, then the relative speed of each worker.
    """
    host, first_port, seed = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    speeds = [float(text) for text in sys.argv[4:]]
    loop = Loop()
    Platform(loop=loop, host=host, first_port=first_port, speeds=speeds, seed=seed)
    loop.run()


if __name__ == "__main__":
    main()
