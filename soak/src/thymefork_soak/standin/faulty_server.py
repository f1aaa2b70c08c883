"""HTTP server of a simulated service, with injected faults."""

import random

import orjson
from attrs import define
from circuits import BaseComponent

from thymefork_net import Address, Sockets, SteadyTimers
from thymefork_net.http import HttpServer

__all__ = ["LATE_MS", "Faults", "FaultyServer", "Loop"]

# Range from which the lateness of a call is drawn.
LATE_MS = (300.0, 2_500.0)


class Loop(BaseComponent):
    """Run the event loop of the simulated platform."""

    channel = "standin"

    def init(self):
        """Register the timers and sockets."""
        self.timers = SteadyTimers().register(self)
        self.sockets = Sockets().register(self)


@define(kw_only=True)
class Faults:
    """Configure the faults of calls; `mode` is "", silent, busy or reset.

    Units: `lose_share` is the fraction of answers dropped, `late_share` the fraction of
    calls carried out late, `late_ms` the range of how late, `delay_ms` the delay of
    each answer.
    """

    mode: str = ""
    lose_share: float = 0.0
    late_share: float = 0.0
    late_ms: tuple[float, float] = LATE_MS
    delay_ms: float = 0.0
    refuse_hosts: tuple[str, ...] = ()


class FaultyServer:
    """Serve calls by `handle(request, answer)` and apply the faults."""

    def __init__(self, *, loop, host, port, handle, seed):
        self.faults = Faults()
        # Overrides `faults`, whose end does not end an outage.
        self.outage = None
        self._loop = loop
        self._handle = handle
        self._random = random.Random(seed)
        self._connections = set()
        self.server = HttpServer(
            sockets=loop.sockets,
            timers=loop.timers,
            address=Address(host=host, port=port),
            on_request=self._on_request,
        )

    def close_connections(self):
        """Close all connections, as if the process had ended."""
        connections, self._connections = self._connections, set()
        for connection in connections:
            connection.on_broken("simulated end of the process")

    def _on_request(self, request):
        self._connections.add(request.connection)
        faults = self.outage or self.faults
        if faults.mode == "silent":
            return
        if faults.mode == "reset":
            request.connection.on_broken("connection reset by an injected fault")
            return
        if faults.mode == "busy":
            request.answer(503)
            return
        if self._random.random() < faults.late_share:
            delay_ms = self._random.uniform(*faults.late_ms)
            self._loop.timers.after(
                delay_ms, lambda: self._handle(request, lambda *_, **__: None)
            )
            return
        lost = self._random.random() < faults.lose_share

        def answer(status, document=None, raw=b""):
            if lost or self.outage:
                return  # an outage also suppresses answers to earlier calls
            body = raw or (orjson.dumps(document) if document is not None else b"")
            if faults.delay_ms:
                self._loop.timers.after(
                    faults.delay_ms, lambda: request.answer(status, body)
                )
            else:
                request.answer(status, body)

        self._handle(request, answer)
