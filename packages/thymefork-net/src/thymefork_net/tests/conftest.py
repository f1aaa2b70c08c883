"""An event loop that tests run step by step."""

import socket

import pytest
from circuits import BaseComponent

from thymefork_net import Address, Sockets, SteadyTimers, steady_ms
from thymefork_net.http import HttpServer

HOST = "127.0.0.1"


class Loop(BaseComponent):
    channel = "test-loop"

    def init(self):
        self.timers = SteadyTimers().register(self)
        self.sockets = Sockets().register(self)

    def run_until(self, condition, within_ms=3_000):
        """Run the loop until a condition holds."""
        end_ms = steady_ms() + within_ms
        while not condition():
            assert steady_ms() < end_ms, "the condition did not become true in time"
            self._running = True
            self.timers.after(5, lambda: None)
            self.tick(0.005)


@pytest.fixture
def loop():
    loop = Loop()
    yield loop
    for owner in list(loop.sockets._owners):
        loop.sockets.remove(owner)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@pytest.fixture
def address():
    return Address(host=HOST, port=free_port())


@pytest.fixture
def served(loop, address):
    requests = []
    server = HttpServer(
        sockets=loop.sockets,
        timers=loop.timers,
        address=address,
        on_request=requests.append,
    )
    return server, requests
