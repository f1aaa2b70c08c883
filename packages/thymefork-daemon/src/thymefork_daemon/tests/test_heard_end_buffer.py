"""Run ends that an owner could not store reach the cell's next owner.

Members get them at once, and forward them to an owner that started later.
"""

from types import SimpleNamespace

import pytest

from thymefork_cells import HeardEnd
from thymefork_daemon import heard_end_buffer as heard_end_buffer_module
from thymefork_daemon.heard_end_buffer import (
    MAX_ENDS_PER_MESSAGE,
    RETENTION_MS,
    HeardEndBuffer,
)
from thymefork_net.peers import EndsHeard, Heartbeat, OwnedCell
from thymefork_net.peers.envelope import decode, encode

from .fakes import FakeMetrics

CLOCK_MODULES = (heard_end_buffer_module,)
CELL = 0


class FakeLink:
    name = "edge-2"

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(decode(encode(message), peer="edge-1"))


class FakeOwner:
    def __init__(self, epoch):
        self.epoch = epoch
        self.received = []

    def take_heard_ends(self, ends):
        self.received += ends


def end(number):
    return HeardEnd(
        worker_id=f"w{number}",
        task=f"aa.0.0.{number}",
        run_id=1,
        how="done",
        checkpoint="",
    )


@pytest.fixture
def daemon():
    peers = SimpleNamespace(member_links=[FakeLink(), FakeLink()])
    return SimpleNamespace(peers=peers, owners={}, metrics=FakeMetrics())


def announcement(ends, epoch):
    """Return the message that announces run ends."""
    daemon = SimpleNamespace(
        peers=SimpleNamespace(member_links=[FakeLink()]), metrics=FakeMetrics()
    )
    HeardEndBuffer(daemon=daemon).announce(CELL, epoch, ends)
    (message,) = daemon.peers.member_links[0].sent
    return message


def test_every_member_gets_the_announcement(daemon, timers):
    HeardEndBuffer(daemon=daemon).announce(CELL, 3, [end(1), end(2)])
    for link in daemon.peers.member_links:
        (message,) = link.sent
        assert (message.cell, message.epoch) == (CELL, 3)
        assert [row.task for row in message.ends] == ["aa.0.0.1", "aa.0.0.2"]


def test_member_has_announced_ends_when_it_takes_over(daemon, timers):
    buffer = HeardEndBuffer(daemon=daemon)
    buffer.on_message(announcement([end(1)], epoch=3))
    assert buffer.ends_before(CELL, 4) == [end(1)]
    assert buffer.ends_before(CELL, 3) == []


def test_owner_accepts_late_ends_of_the_previous_owner(daemon, timers):
    daemon.owners[CELL] = FakeOwner(epoch=4)
    HeardEndBuffer(daemon=daemon).on_message(announcement([end(1)], epoch=3))
    assert daemon.owners[CELL].received == [end(1)]


def test_owner_ignores_ends_of_a_later_owner(daemon, timers):
    daemon.owners[CELL] = FakeOwner(epoch=4)
    HeardEndBuffer(daemon=daemon).on_message(announcement([end(1)], epoch=5))
    assert not daemon.owners[CELL].received


def test_owner_started_later_gets_all_ends_once(daemon, timers):
    buffer = HeardEndBuffer(daemon=daemon)
    buffer.on_message(announcement([end(1)], epoch=3))
    link = FakeLink()
    for _ in range(3):
        buffer.forward_to_owner(link, CELL, 6)
    (message,) = link.sent
    assert [row.task for row in message.ends] == ["aa.0.0.1"]
    assert message.epoch < 6


def test_announcing_owner_gets_nothing_back(daemon, timers):
    buffer = HeardEndBuffer(daemon=daemon)
    buffer.on_message(announcement([end(1)], epoch=3))
    link = FakeLink()
    buffer.forward_to_owner(link, CELL, 3)
    assert not link.sent


def test_owner_after_the_announcing_one_gets_all_ends(daemon, timers):
    """The announcing owner reports its ownership before the next owner does."""
    buffer = HeardEndBuffer(daemon=daemon)
    buffer.on_message(announcement([end(1)], epoch=3))
    buffer.forward_to_owner(FakeLink(), CELL, 3)
    link = FakeLink()
    buffer.forward_to_owner(link, CELL, 4)
    assert len(link.sent) == 1


def test_second_next_owner_gets_the_ends_too(daemon, timers):
    buffer = HeardEndBuffer(daemon=daemon)
    buffer.on_message(announcement([end(1)], epoch=3))
    for epoch in (4, 7):
        link = FakeLink()
        buffer.forward_to_owner(link, CELL, epoch)
        assert len(link.sent) == 1


def test_buffered_ends_expire(daemon, timers):
    buffer = HeardEndBuffer(daemon=daemon)
    buffer.on_message(announcement([end(1)], epoch=3))
    timers.run(RETENTION_MS + 1)
    assert buffer.ends_before(CELL, 4) == []


def test_buffer_is_bounded_and_drops_are_counted(daemon, timers, monkeypatch):
    monkeypatch.setattr(heard_end_buffer_module, "MAX_ENDS_PER_CELL", 2)
    buffer = HeardEndBuffer(daemon=daemon)
    buffer.announce(CELL, 3, [end(number) for number in range(5)])
    assert len(buffer.ends_before(CELL, 4)) == 2
    assert daemon.metrics.counts.count(("heard_ends", "dropped")) == 3


def test_many_ends_are_split_into_bounded_messages(daemon, timers):
    ends = [end(number) for number in range(MAX_ENDS_PER_MESSAGE + 1)]
    HeardEndBuffer(daemon=daemon).announce(CELL, 3, ends)
    sizes = [len(message.ends) for message in daemon.peers.member_links[0].sent]
    assert sizes == [MAX_ENDS_PER_MESSAGE, 1]


def test_heartbeat_and_ends_heard_survive_the_codec():
    owned = [OwnedCell(cell=0, epoch=1)]
    heartbeat = Heartbeat(owned=owned, config_version=1, leaving=False)
    assert decode(encode(heartbeat), peer="edge-1").owned == owned
    message = EndsHeard(cell=0, epoch=1, ends=[])
    assert decode(encode(message), peer="edge-1").epoch == 1
