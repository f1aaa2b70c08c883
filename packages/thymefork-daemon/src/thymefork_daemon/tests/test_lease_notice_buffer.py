"""Promises of owners about their leases reach the cell's next owner.

They may only be read as longer than they were meant, never as shorter.
"""

from types import SimpleNamespace

import pytest

from thymefork_cells import LeaseNotice, LeavingWorker, OwnerEnd
from thymefork_daemon import lease_notice_buffer as lease_notice_buffer_module
from thymefork_daemon.lease_notice_buffer import (
    MAX_EPOCHS_PER_CELL,
    MAX_WORKERS_PER_EPOCH,
    RETENTION_MS,
    LeaseNoticeBuffer,
)
from thymefork_net.peers import Heartbeat
from thymefork_net.peers.envelope import decode, encode
from thymefork_net.peers.link import MAX_MESSAGE_BYTES

from .fakes import FakeMetrics

CLOCK_MODULES = (lease_notice_buffer_module,)
CELL = 0


class FakePeers:
    """Keep what was sent, as a peer decodes it."""

    def __init__(self):
        self.sent = []
        self.sizes = []

    def send_to_members(self, messages):
        self.send_lease_notices(None, messages)

    def send_lease_notices(self, link, messages):
        heartbeat = Heartbeat(
            owned=[], config_version=1, leaving=False, lease_notices=messages
        )
        data = encode(heartbeat)
        self.sizes.append(len(data))
        self.sent += decode(data, peer="edge-1").lease_notices


class FakeOwner:
    def __init__(self, epoch):
        self.epoch = epoch
        self.received = []

    def take_lease_notice(self, notice):
        self.received.append(notice)


@pytest.fixture
def make_daemon():
    def make():
        daemon = SimpleNamespace(peers=FakePeers(), owners={}, metrics=FakeMetrics())
        daemon.buffer = LeaseNoticeBuffer(daemon=daemon)
        return daemon

    return make


def leaving(worker_id, until_ms):
    return LeavingWorker(
        worker_id=worker_id, born_epoch_ms=7, long_leases_until_ms=until_ms
    )


def notice(*, epoch=3, workers=(), end=None):
    return LeaseNotice(epoch=epoch, leaving=tuple(workers), end=end)


def test_member_knows_what_the_owner_promised(make_daemon, timers):
    owner, member = make_daemon(), make_daemon()
    owner.buffer.announce(CELL, notice(workers=[leaving("w1", timers.now_ms + 500.4)]))
    timers.run(100)
    for message in owner.peers.sent:
        member.buffer.on_message(message)
    (known,) = member.buffer.notices_before(CELL, 4)
    (worker,) = known.leaving
    assert (known.epoch, worker.worker_id, worker.born_epoch_ms) == (3, "w1", 7)
    assert worker.long_leases_until_ms >= timers.now_ms + 500.4
    assert not member.buffer.notices_before(CELL, 3)


def test_end_of_an_owner_is_never_taken_for_earlier(make_daemon, timers):
    owner, member, next_owner = make_daemon(), make_daemon(), make_daemon()
    ended_ms = timers.now_ms
    earlier_ms = ended_ms + 900.2
    end = OwnerEnd(
        ended_ms=ended_ms, has_served=True, earlier_leases_until_ms=earlier_ms
    )
    owner.buffer.announce(CELL, notice(end=end))
    timers.run(50.5)
    member.buffer.on_message(*owner.peers.sent)
    timers.run(300.5)
    member.buffer.forward_to_owner(SimpleNamespace(name="edge-2"), CELL, 5)
    next_owner.buffer.on_message(*member.peers.sent)
    (known,) = next_owner.buffer.notices_before(CELL, 5)
    assert known.end.ended_ms >= ended_ms
    assert known.end.earlier_leases_until_ms >= earlier_ms
    assert known.end.has_served


def test_notices_of_one_epoch_add_up(make_daemon, timers):
    daemon = make_daemon()
    end = OwnerEnd(ended_ms=0.0, has_served=True, earlier_leases_until_ms=0.0)
    daemon.buffer.announce(CELL, notice(workers=[leaving("w1", 100.0)]))
    daemon.buffer.announce(CELL, notice(workers=[leaving("w2", 100.0)]))
    daemon.buffer.announce(CELL, notice(end=end))
    (known,) = daemon.buffer.notices_before(CELL, 4)
    assert [worker.worker_id for worker in known.leaving] == ["w1", "w2"]
    assert known.end == end


def test_present_owner_gets_late_notices_of_earlier_ones_only(make_daemon, timers):
    sender, daemon = make_daemon(), make_daemon()
    daemon.owners[CELL] = FakeOwner(epoch=4)
    sender.buffer.announce(CELL, notice(epoch=3, workers=[leaving("w1", 1.0)]))
    sender.buffer.announce(CELL, notice(epoch=5, workers=[leaving("w2", 1.0)]))
    for message in sender.peers.sent:
        daemon.buffer.on_message(message)
    assert [known.epoch for known in daemon.owners[CELL].received] == [3]


def test_owner_started_later_gets_all_notices_once(make_daemon, timers):
    daemon = make_daemon()
    daemon.buffer.announce(CELL, notice(epoch=3, workers=[leaving("w1", 1.0)]))
    daemon.peers.sent.clear()
    for _ in range(3):
        daemon.buffer.forward_to_owner(SimpleNamespace(name="edge-2"), CELL, 6)
    assert [message.epoch for message in daemon.peers.sent] == [3]


def test_new_member_is_told_the_promises_of_present_owners(make_daemon, timers):
    daemon = make_daemon()
    daemon.owners[CELL] = FakeOwner(epoch=3)
    assert daemon.buffer.messages_of_owned_cells() is None
    daemon.buffer.announce(CELL, notice(epoch=2, workers=[leaving("w1", 1.0)]))
    daemon.buffer.announce(CELL, notice(epoch=3, workers=[leaving("w2", 1.0)]))
    (message,) = daemon.buffer.messages_of_owned_cells()
    assert [row.worker_id for row in message.leaving] == ["w2"]


def test_notices_are_bounded_in_time_and_number(make_daemon, timers):
    daemon = make_daemon()
    for epoch in range(2 * MAX_EPOCHS_PER_CELL):
        daemon.buffer.announce(CELL, notice(epoch=epoch))
    known = daemon.buffer.notices_before(CELL, 1_000)
    assert len(known) == MAX_EPOCHS_PER_CELL
    assert max(row.epoch for row in known) == 2 * MAX_EPOCHS_PER_CELL - 1
    timers.run(RETENTION_MS + 1)
    assert not daemon.buffer.notices_before(CELL, 1_000)


# Memory grew without bound under an owner whose workers leave one by one.
def test_workers_of_an_epoch_are_bounded(make_daemon, timers):
    daemon = make_daemon()
    for number in range(MAX_WORKERS_PER_EPOCH + 10):
        daemon.buffer.announce(CELL, notice(workers=[leaving(f"w{number}", 1.0)]))
    (known,) = daemon.buffer.notices_before(CELL, 4)
    assert len(known.leaving) == MAX_WORKERS_PER_EPOCH


# A peer closes its link on a message above its limit.
def test_forwarded_notices_fit_into_messages(make_daemon, timers):
    daemon = make_daemon()
    workers = [
        leaving(f"{number:016x}", timers.now_ms + 3_000.0)
        for number in range(MAX_WORKERS_PER_EPOCH)
    ]
    for epoch in range(MAX_EPOCHS_PER_CELL):
        daemon.buffer.announce(CELL, notice(epoch=epoch, workers=workers))
    daemon.peers.sent.clear()
    daemon.buffer.forward_to_owner(SimpleNamespace(name="edge-2"), CELL, 100)
    assert max(daemon.peers.sizes) <= MAX_MESSAGE_BYTES / 10
    rows = sum(len(message.leaving) for message in daemon.peers.sent)
    assert rows == MAX_EPOCHS_PER_CELL * MAX_WORKERS_PER_EPOCH


# Leases that a worker got after it was announced first were taken for over.
def test_later_end_of_long_leases_is_kept(make_daemon, timers):
    daemon = make_daemon()
    for until_ms in (1_000.0, 3_000.0, 2_000.0):
        daemon.buffer.announce(CELL, notice(workers=[leaving("w0", until_ms)]))
    (known,) = daemon.buffer.notices_before(CELL, 4)
    assert known.leaving[0].long_leases_until_ms == 3_000.0
