"""A worker on virtual time: it refuses nothing and writes everything down."""

from attrs import Factory, define, evolve

from thymefork_core.model import Resources
from thymefork_core.node import messages as m

__all__ = ["PAYLOAD_TAKES_MS", "VirtualWorker"]

PAYLOAD_TAKES_MS = "takes_ms:"
PAYLOAD_FAIL = "fail"


@define(kw_only=True)
class VirtualWorker:
    """Run attempts under one lease; note breaches of capacity by itself."""

    name: str
    total: Resources
    running: dict = Factory(dict)
    ends_at_ms: dict = Factory(dict)
    finished: dict = Factory(dict)
    lease_until_ms: float = 0
    starts: list = Factory(list)
    breaches: list = Factory(list)
    fails_all: bool = False
    peak_memory_mb: dict = Factory(dict)
    lookups: int = 0
    most_lookups: int = 0

    def start(self, orders, lease_until_ms, now_ms):
        """Start attempts whose lease has not passed."""
        if lease_until_ms < now_ms:
            return
        self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)
        for order in orders:
            need = Resources(
                cpu_milli=order.cpu_milli,
                memory_mb=order.memory_mb,
                accelerators=order.accelerators,
            )
            self.running[order.attempt_id] = need
            run_ms = _real_run_ms(order) or float("inf")
            self.ends_at_ms[order.attempt_id] = now_ms + run_ms
            self.starts.append((now_ms, order.attempt_id))
            if not sum(self.running.values(), Resources()).fits(self.total):
                self.breaches.append((now_ms, order.attempt_id))
            if self.fails_all or order.payload == PAYLOAD_FAIL:
                self.end(order.attempt_id, exit_code=1)

    def throttle(self, attempt_id, cpu_milli, now_ms):
        """Slow an attempt down; False if it does not run."""
        held = self.running.get(attempt_id)
        if held is None:
            return False
        left_ms = self.ends_at_ms[attempt_id] - now_ms
        self.ends_at_ms[attempt_id] += left_ms * (held.cpu_milli / cpu_milli - 1)
        self.running[attempt_id] = evolve(held, cpu_milli=cpu_milli)
        return True

    def end(self, attempt_id, *, exit_code=0, stopped=False):
        """End an attempt and keep its outcome until it is forgotten."""
        if self.running.pop(attempt_id, None) is None:
            return
        self.ends_at_ms.pop(attempt_id)
        self.finished[attempt_id] = m.AttemptReport(
            attempt_id=attempt_id, exit_code=exit_code, stopped=stopped
        )

    def pass_time(self, now_ms):
        """End what is due, and all if the lease has lapsed; True if any ended."""
        before = len(self.running)
        for attempt_id, due_ms in list(self.ends_at_ms.items()):
            if due_ms <= now_ms:
                self.end(attempt_id)
        if self.running and self.lease_until_ms < now_ms:
            self.running.clear()
            self.ends_at_ms.clear()
        return len(self.running) < before

    def report(self, now_ms):
        """Return the worker's report."""
        return m.WorkerReport(
            worker=self.name,
            measured_at_ms=int(now_ms),
            running=tuple(self.running),
            finished=tuple(self.finished.values()),
            connections=self.lookups,
            leaving=False,
            peak_memory_mb=dict(self.peak_memory_mb),
        )


def _real_run_ms(order):
    """Return how long an order really runs, where its payload says so."""
    if order.payload.startswith(PAYLOAD_TAKES_MS):
        return int(order.payload.removeprefix(PAYLOAD_TAKES_MS))
    return order.run_ms
