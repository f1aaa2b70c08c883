"""A planned stop ends the process only once no answer is lost by it."""

import pytest
from circuits import Manager
from circuits.net.sockets import TCPServer

from thymefork_core.node import effects as fx
from thymefork_entry import leaving
from thymefork_entry.http_server import HttpServer
from thymefork_entry.leaving import SEND_PATIENCE_MS, Leaving
from thymefork_platform import perform

TURNS = 6


class Frontend:
    """Stand for the front door."""

    given = 0
    has_unsent = False


class Bench:
    """Hold a component that leaves, its clock and what it said at the end."""

    def __init__(self):
        self.mono_ms = 0
        self.front = Frontend()
        self.ended = []
        self.root = Manager()
        Leaving(self.front, self.ended.append).register(self.root)
        self.turn(TURNS)

    def turn(self, turns):
        for _ in range(turns):
            self.root.flush()

    def ask(self, turns=TURNS):
        self.root.fire(perform(fx.Exit()), "leaving")
        self.turn(turns)
        return self.ended


@pytest.fixture
def bench(monkeypatch):
    holder = Bench()
    monkeypatch.setattr(leaving, "mono_ms", lambda: holder.mono_ms)
    return holder


def test_leaves_when_all_is_sent(bench):
    assert bench.ask() == [True]


def test_waits_for_bytes_that_a_caller_has_not_taken_yet(bench):
    bench.front.has_unsent = True
    assert bench.ask() == []
    bench.front.has_unsent = False
    assert bench.ask() == [True]


def test_waits_for_an_answer_given_during_the_look(bench):
    # Seen in "all instances of a hall are replaced one after the other under load": the
    # answer was an event in the queue, and in no buffer, when the process ended.
    assert bench.ask(turns=2) == []
    bench.front.given += 1
    bench.turn(TURNS)
    assert bench.ended == []
    assert bench.ask() == [True]


def test_a_caller_that_takes_nothing_does_not_hold_the_stop_for_ever(bench):
    bench.front.has_unsent = True
    assert bench.ask() == []
    bench.mono_ms = SEND_PATIENCE_MS
    assert bench.ask() == []
    bench.mono_ms = SEND_PATIENCE_MS + 1
    assert bench.ask() == [False]


def test_the_server_tells_of_bytes_that_wait_for_a_socket():
    server = HttpServer(("127.0.0.1", 0), channel="web", display_banner=False)
    assert isinstance(server.server, TCPServer)
    assert not server.has_unsent
    server.server._poller = _Poller()
    server.server.write("sock", b"x")
    assert server.has_unsent
    server.server._sock.close()


class _Poller:
    """Stand for a poller that never finds a socket ready."""

    def isWriting(self, sock):  # noqa: N802 - the library's name
        return True
