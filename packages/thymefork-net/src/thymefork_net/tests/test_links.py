"""Tests of links between instances."""

import socket

import pytest

from thymefork_net import Address
from thymefork_net.peers import Heartbeat, Hello, Links, OwnedCell


class Listener:
    def __init__(self):
        self.messages = []
        self.broken = []

    def on_message(self, link, message):
        self.messages.append((link, message))

    def on_link_broken(self, link):
        self.broken.append(link)


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(host="127.0.0.1", port=probe.getsockname()[1])


@pytest.fixture
def pair(loop):
    pairs = []
    for name in ("a", "b"):
        listener = Listener()
        links = Links(
            sockets=loop.sockets,
            instance=name,
            incarnation="1",
            address=free_address(),
            listener=listener,
        )
        pairs.append((links, listener))
    return pairs


def address_of(links):
    hello = links._hello
    return Address(host=hello.host, port=hello.port)


def test_messages_are_sent_both_ways_on_one_link(loop, pair):
    (a, listener_a), (b, listener_b) = pair
    link = a.open_link(address_of(b))
    link.send(
        Heartbeat(owned=[OwnedCell(cell=1, epoch=7)], config_version=3, leaving=False)
    )
    loop.run_until(lambda: len(listener_b.messages) == 2)
    assert isinstance(listener_b.messages[0][1], Hello)
    incoming = listener_b.messages[1][0]
    assert incoming.peer.instance == "a"
    assert incoming.listener_address == address_of(a)
    assert link.listener_address == address_of(b)
    incoming.send(Heartbeat(owned=[], config_version=4, leaving=True))
    loop.run_until(lambda: listener_a.messages)
    assert listener_a.messages[0][1].leaving
    assert a.open_link(address_of(b)) is link


def test_refused_link_is_marked_as_refused(loop, pair):
    (a, link_listener), _ = pair
    a.open_link(free_address())
    loop.run_until(lambda: link_listener.broken)
    assert link_listener.broken[0].was_refused


def test_invalid_message_closes_the_link(loop, pair):
    (a, link_listener), _ = pair
    sock = socket.create_connection((address_of(a).host, address_of(a).port))
    sock.sendall(b"\x00\x00\x00\x04oops")
    loop.run_until(lambda: link_listener.broken)


def test_silent_link_is_closed(loop, pair):
    (a, link_listener), (b, _) = pair
    a.open_link(address_of(b))
    loop.run_until(lambda: all(link.connected for link in a.all))
    a.close_unresponsive(-1.0)
    assert link_listener.broken


def test_written_bytes_reach_sent_bytes_once_connected(loop, pair):
    (a, _), (b, listener_b) = pair
    link = a.open_link(address_of(b))
    link.send(Heartbeat(owned=[], config_version=4, leaving=True))
    assert link.sent_bytes > 0 and link.written_bytes == 0
    loop.run_until(lambda: len(listener_b.messages) == 2)
    assert link.written_bytes == link.sent_bytes


def test_refused_link_has_written_no_bytes(loop, pair):
    (a, link_listener), _ = pair
    link = a.open_link(free_address())
    link.send(Heartbeat(owned=[], config_version=4, leaving=True))
    loop.run_until(lambda: link_listener.broken)
    assert link.sent_bytes > 0 and link.written_bytes == 0
