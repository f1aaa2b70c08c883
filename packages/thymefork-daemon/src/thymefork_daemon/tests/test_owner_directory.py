"""Removal of dead members from the group, and the owners' epochs."""

import pytest

from thymefork_daemon import owner_directory
from thymefork_daemon.membership import CELLS_TOPIC
from thymefork_daemon.owner_directory import OwnerDirectory
from thymefork_machines.store import MemberRow
from thymefork_net import Address
from thymefork_net.http import HttpAnswer

from .fakes import FakeStore

CLOCK_MODULES = (owner_directory,)

OWN = Address(host="10.0.0.1", port=7000)
OWNER = Address(host="10.0.0.2", port=7000)
NEXT_OWNER = Address(host="10.0.0.3", port=7000)
DONE = HttpAnswer(status=200)


def row(address, incarnation="1"):
    member_id = f"x|{address.host}|{address.port}|{incarnation}"
    return MemberRow(topic=CELLS_TOPIC, partition=7, member_id=member_id)


LISTED = row(OWNER)
FORMER_SELF = row(OWN, "former")


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def directory(store, timers):
    return OwnerDirectory(
        store=store,
        timers=timers,
        own_id="x|10.0.0.1|7000|now",
        partition_of=lambda cell: 7,
        on_change=lambda: None,
        on_removed=lambda: None,
    )


def answer_reads(store, timers, rows, for_ms):
    """Answer each read at once for a while; return the number of reads."""
    reads = 0
    for _ in range(for_ms // 10):
        while store.owner_calls:
            store.owner_calls.pop(0)(rows)
            reads += 1
        timers.run(10)
    return reads


def test_removal_is_repeated_if_unanswered(directory, store, timers):
    directory.remove_dead(OWNER)
    answer_reads(store, timers, (LISTED,), 240)
    assert store.left == [LISTED.member_id] * 2


def test_member_that_is_dead_again_is_removed_again(directory, store, timers):
    """It froze, recovered under the same member id, and froze again."""
    store.leave_answer = DONE
    for times in (1, 2):
        directory.remove_dead(OWNER)
        answer_reads(store, timers, (LISTED,), 3_000)
        assert len(store.left) == times


def test_own_former_incarnation_is_removed_after_a_failed_read(
    directory, store, timers
):
    """The store was unavailable at the start, and nothing else triggers a read."""
    directory.remove_dead(OWN)
    store.owner_calls.pop()(None)
    answer_reads(store, timers, None, 3_000)
    store.leave_answer = DONE
    for _ in range(50):
        answer_reads(store, timers, () if store.left else (FORMER_SELF,), 10)
    assert store.left == [FORMER_SELF.member_id]


def test_own_former_incarnations_removal_is_repeated_if_unanswered(
    directory, store, timers
):
    directory.remove_dead(OWN)
    answer_reads(store, timers, (FORMER_SELF,), 1_000)
    assert set(store.left) == {FORMER_SELF.member_id} and 3 <= len(store.left) <= 7


def test_rejoined_member_is_not_removed_by_an_earlier_mark(directory, store, timers):
    store.leave_answer = DONE
    directory.remove_dead(OWNER)
    answer_reads(store, timers, (LISTED,), 1_000)
    assert store.left == [LISTED.member_id]


def test_removals_of_a_member_that_stays_listed_are_rate_limited(
    directory, store, timers
):
    """Its address refuses connections ten times a second."""
    reads = 0
    for _ in range(10):
        directory.remove_dead(OWNER)
        reads += answer_reads(store, timers, (LISTED,), 100)
    assert len(store.left) <= 7 and reads <= 12


def test_own_current_incarnation_is_never_removed(directory, store, timers):
    directory.remove_dead(OWN)
    answer_reads(store, timers, (row(OWN, "now"),), 1_000)
    assert not store.left


def test_epoch_is_unknown_until_its_owner_reports_it(directory, store, timers):
    assert directory.epoch_of(0) is None
    directory.record_owner(0, OWNER, 3)
    assert directory.epoch_of(0) == 3
    directory.refresh()
    answer_reads(store, timers, (row(NEXT_OWNER),), 20)
    assert directory.owner_of(0) == NEXT_OWNER and directory.epoch_of(0) is None


@pytest.mark.parametrize("member_id", ["", "x", "x|y", "a|b|port|d", "a|b|1|c|d", 7])
def test_foreign_member_id_is_ignored(directory, store, timers, member_id):
    directory.refresh()
    foreign = MemberRow(topic=CELLS_TOPIC, partition=7, member_id=member_id)
    answer_reads(store, timers, [foreign], for_ms=250)
    assert directory.owner_of(0) is None
    assert directory.member_count == 0
