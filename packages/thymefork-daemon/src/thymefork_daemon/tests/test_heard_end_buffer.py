"""Ends that an owner could not store reach whoever owns the cell next.

The story is told in the cell's `test_ends_heard_in_outages.py`; here is the way between
the instances: to the members at once, and from them to an owner that came later.
"""

from types import SimpleNamespace

import pytest

from thymefork_cells import HeardEnd
from thymefork_daemon import heard_end_buffer as heard_ends_module
from thymefork_daemon.heard_end_buffer import (
    MAX_ENDS_PER_MESSAGE,
    RETENTION_MS,
    HeardEndBuffer,
)
from thymefork_net.peers import EndsHeard, Heartbeat, OwnedCell
from thymefork_net.peers.envelope import decode, encode

from .fakes import FakeMetrics

CLOCK_MODULES = (heard_ends_module,)
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
        self.taken = []

    def take_heard_ends(self, ends):
        self.taken += ends


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


def told(ends, epoch):
    """Return the message that tells of ends."""
    daemon = SimpleNamespace(
        peers=SimpleNamespace(member_links=[FakeLink()]), metrics=FakeMetrics()
    )
    HeardEndBuffer(daemon=daemon).announce(CELL, epoch, ends)
    (message,) = daemon.peers.member_links[0].sent
    return message


def test_every_member_is_told(daemon, timers):
    HeardEndBuffer(daemon=daemon).announce(CELL, 3, [end(1), end(2)])
    for link in daemon.peers.member_links:
        (message,) = link.sent
        assert (message.cell, message.epoch) == (CELL, 3)
        assert [row.task for row in message.ends] == ["aa.0.0.1", "aa.0.0.2"]


def test_a_member_that_takes_the_cell_over_has_what_it_was_told(daemon, timers):
    heard = HeardEndBuffer(daemon=daemon)
    heard.on_message(told([end(1)], epoch=3))
    assert heard.ends_before(CELL, 4) == [end(1)]
    assert heard.ends_before(CELL, 3) == []


def test_an_owner_takes_what_its_predecessor_tells_late(daemon, timers):
    daemon.owners[CELL] = FakeOwner(epoch=4)
    HeardEndBuffer(daemon=daemon).on_message(told([end(1)], epoch=3))
    assert daemon.owners[CELL].taken == [end(1)]


def test_an_owner_takes_nothing_of_a_later_one(daemon, timers):
    daemon.owners[CELL] = FakeOwner(epoch=4)
    HeardEndBuffer(daemon=daemon).on_message(told([end(1)], epoch=5))
    assert not daemon.owners[CELL].taken


def test_an_owner_that_was_started_since_is_handed_all_once(daemon, timers):
    heard = HeardEndBuffer(daemon=daemon)
    heard.on_message(told([end(1)], epoch=3))
    link = FakeLink()
    for _ in range(3):
        heard.forward_to_owner(link, CELL, 6)
    (message,) = link.sent
    assert [row.task for row in message.ends] == ["aa.0.0.1"]
    assert message.epoch < 6


def test_the_owner_that_told_is_handed_nothing(daemon, timers):
    heard = HeardEndBuffer(daemon=daemon)
    heard.on_message(told([end(1)], epoch=3))
    link = FakeLink()
    heard.forward_to_owner(link, CELL, 3)
    assert not link.sent


def test_the_one_after_the_owner_that_told_is_handed_all(daemon, timers):
    """The owner that told says that it owns the cell before another one does."""
    heard = HeardEndBuffer(daemon=daemon)
    heard.on_message(told([end(1)], epoch=3))
    heard.forward_to_owner(FakeLink(), CELL, 3)
    link = FakeLink()
    heard.forward_to_owner(link, CELL, 4)
    assert len(link.sent) == 1


def test_a_second_successor_is_handed_what_the_first_was(daemon, timers):
    heard = HeardEndBuffer(daemon=daemon)
    heard.on_message(told([end(1)], epoch=3))
    for epoch in (4, 7):
        link = FakeLink()
        heard.forward_to_owner(link, CELL, epoch)
        assert len(link.sent) == 1


def test_what_was_told_is_forgotten(daemon, timers):
    heard = HeardEndBuffer(daemon=daemon)
    heard.on_message(told([end(1)], epoch=3))
    timers.run(RETENTION_MS + 1)
    assert heard.ends_before(CELL, 4) == []


def test_what_is_kept_is_bounded_and_what_is_dropped_counted(
    daemon, timers, monkeypatch
):
    monkeypatch.setattr(heard_ends_module, "MOST_KEPT", 2)
    heard = HeardEndBuffer(daemon=daemon)
    heard.announce(CELL, 3, [end(number) for number in range(5)])
    assert len(heard.ends_before(CELL, 4)) == 2
    assert daemon.metrics.counts.count(("heard_ends", "dropped")) == 3


def test_many_ends_go_in_messages_of_bounded_size(daemon, timers):
    ends = [end(number) for number in range(MAX_ENDS_PER_MESSAGE + 1)]
    HeardEndBuffer(daemon=daemon).announce(CELL, 3, ends)
    sizes = [len(message.ends) for message in daemon.peers.member_links[0].sent]
    assert sizes == [MAX_ENDS_PER_MESSAGE, 1]


def test_a_heartbeat_is_still_read_beside_the_new_message():
    owned = [OwnedCell(cell=0, epoch=1)]
    beat = Heartbeat(owned=owned, config_version=1, leaving=False)
    assert decode(encode(beat), peer="edge-1").owned == owned
    message = EndsHeard(cell=0, epoch=1, ends=[])
    assert decode(encode(message), peer="edge-1").epoch == 1
