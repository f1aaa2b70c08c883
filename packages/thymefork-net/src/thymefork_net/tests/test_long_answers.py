"""Answers that arrive in parts over a slow link."""

import socket

import pytest

from thymefork_net import steady_ms
from thymefork_net.http import HttpCall, HttpPool, pool as pool_module


def call(address, answers, **fields):
    return HttpCall(
        address=address,
        method="GET",
        target="/records",
        on_answer=answers.append,
        **fields,
    )


class SlowServer:
    """Send an answer in delayed parts, optionally stopping before the last ones."""

    def __init__(self, loop, address, *, parts, part_interval_ms, stops_after=None):
        self._listener = socket.create_server((address.host, address.port))
        self._listener.setblocking(False)
        self._loop = loop
        self._parts = parts
        self._part_interval_ms = part_interval_ms
        self._stops_after = stops_after
        self._sock = None
        loop.timers.after(5, self._accept)

    def _accept(self):
        try:
            self._sock, _ = self._listener.accept()
        except BlockingIOError:
            self._loop.timers.after(5, self._accept)
            return
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {self._parts}\r\n\r\n"
        self._sock.sendall(head.encode())
        self._send(0)

    def _send(self, sent):
        if sent == self._parts or sent == self._stops_after:
            return
        self._sock.sendall(b"x")
        self._loop.timers.after(self._part_interval_ms, lambda: self._send(sent + 1))

    def close(self):
        self._listener.close()
        if self._sock is not None:
            self._sock.close()


@pytest.fixture
def serve_slowly(loop, address):
    servers = []

    def serve_slowly(**fields):
        servers.append(SlowServer(loop, address, **fields))

    yield serve_slowly
    for server in servers:
        server.close()


@pytest.mark.parametrize("extra_ms, status", [(2_000, 200), (0, 0), (100, 0)])
def test_long_answer_is_awaited_while_its_parts_arrive(
    loop, address, serve_slowly, extra_ms, status
):
    """A fixed deadline would never let a large page arrive over a slow link."""
    serve_slowly(parts=10, part_interval_ms=30)
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    answers = []
    deadline_ms = steady_ms() + 120
    max_deadline_ms = deadline_ms + extra_ms if extra_ms else 0.0
    pool.send(
        call(address, answers, deadline_ms=deadline_ms, max_deadline_ms=max_deadline_ms)
    )
    loop.run_until(lambda: answers)
    assert answers[0].status == status


def test_long_answer_whose_parts_stop_times_out(
    loop, address, serve_slowly, monkeypatch
):
    monkeypatch.setattr(pool_module, "PART_TIMEOUT_MS", 100.0)
    serve_slowly(parts=10, part_interval_ms=30, stops_after=5)
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    answers = []
    began_ms = steady_ms()
    fields = {"deadline_ms": began_ms + 120, "max_deadline_ms": began_ms + 5_000}
    pool.send(call(address, answers, **fields))
    loop.run_until(lambda: answers)
    assert answers[0].status == 0
    assert steady_ms() - began_ms < 1_000
