"""Simulated advice service."""

import orjson

from .faulty_server import FaultyServer

__all__ = ["Advice", "is_allowed"]

DECISION_MS = 20.0


class Advice:
    """Allow two thirds of the machines for each step, always the same ones.

    The choice depends on the machine instead of the worker's id, so that every step
    keeps workers to run on after crashes.
    """

    def __init__(self, *, loop, host, port, seed):
        self._loop = loop
        self.faulty_server = FaultyServer(
            loop=loop, host=host, port=port, handle=self._on_call, seed=seed
        )

    def _on_call(self, request, answer):
        body = orjson.loads(request.body)
        rows = [
            [worker_id, f"t-{worker_id}"]
            for worker_id in body["workers"]
            if is_allowed(body["step"], worker_id)
        ]
        document = {"healthy": rows, "valid_ms": 2_500}
        self._loop.timers.after(DECISION_MS, lambda: answer(200, document))


def is_allowed(step, worker_id):
    """Return whether a step may run on a worker."""
    return (_machine_checksum(worker_id) + sum(step.encode())) % 3 > 0


def _machine_checksum(worker_id):
    machine, _, _ = worker_id.rpartition("-")
    return sum(machine.encode())
