"""Members that are certainly dead, and taken out until they are out."""

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
SUCCESSOR = Address(host="10.0.0.3", port=7000)
DONE = HttpAnswer(status=200)


def row(address, life="1"):
    member_id = f"x|{address.host}|{address.port}|{life}"
    return MemberRow(topic=CELLS_TOPIC, partition=7, member_id=member_id)


LISTED = row(OWNER)
FORMER = row(OWN, "former")


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
    """Let the store answer each reading at once for a while; return their number."""
    readings = 0
    for _ in range(for_ms // 10):
        while store.owner_calls:
            store.owner_calls.pop(0)(rows)
            readings += 1
        timers.run(10)
    return readings


def test_a_member_is_taken_out_again_where_that_was_not_answered(
    directory, store, timers
):
    directory.remove_dead(OWNER)
    answer_reads(store, timers, (LISTED,), 240)
    assert store.left == [LISTED.member_id] * 2


def test_an_owner_that_falls_silent_a_second_time_is_taken_out_again(
    directory, store, timers
):
    """It was frozen, came back under the same life, and is frozen once more."""
    store.leave_answer = DONE
    for times in (1, 2):
        directory.remove_dead(OWNER)
        answer_reads(store, timers, (LISTED,), 3_000)
        assert len(store.left) == times


def test_the_own_former_life_is_removed_though_the_first_read_failed(
    directory, store, timers
):
    """The store was away as the process started; nobody asks for a reading."""
    directory.remove_dead(OWN)
    store.owner_calls.pop()(None)
    answer_reads(store, timers, None, 3_000)
    store.leave_answer = DONE
    for _ in range(50):
        answer_reads(store, timers, () if store.left else (FORMER,), 10)
    assert store.left == [FORMER.member_id]


def test_the_own_former_life_is_removed_again_where_that_was_not_answered(
    directory, store, timers
):
    directory.remove_dead(OWN)
    answer_reads(store, timers, (FORMER,), 1_000)
    assert set(store.left) == {FORMER.member_id} and 3 <= len(store.left) <= 7


def test_a_member_that_joins_anew_is_not_taken_out_by_the_word_of_before(
    directory, store, timers
):
    store.leave_answer = DONE
    directory.remove_dead(OWNER)
    answer_reads(store, timers, (LISTED,), 1_000)
    assert store.left == [LISTED.member_id]


def test_taking_out_a_member_that_stays_listed_costs_few_calls(
    directory, store, timers
):
    """Its address goes on refusing connections, ten times a second."""
    readings = 0
    for _ in range(10):
        directory.remove_dead(OWNER)
        readings += answer_reads(store, timers, (LISTED,), 100)
    assert len(store.left) <= 7 and readings <= 12


def test_the_own_life_of_today_is_never_taken_out(directory, store, timers):
    directory.remove_dead(OWN)
    answer_reads(store, timers, (row(OWN, "now"),), 1_000)
    assert not store.left


def test_an_epoch_belongs_to_the_owner_that_told_it(directory, store, timers):
    assert directory.epoch_of(0) is None
    directory.record_owner(0, OWNER, 3)
    assert directory.epoch_of(0) == 3
    directory.refresh()
    answer_reads(store, timers, (row(SUCCESSOR),), 20)
    assert directory.owner_of(0) == SUCCESSOR and directory.epoch_of(0) is None


@pytest.mark.parametrize("member_id", ["", "x", "x|y", "a|b|port|d", "a|b|1|c|d", 7])
def test_a_member_of_others_owns_nothing(directory, store, timers, member_id):
    directory.refresh()
    foreign = MemberRow(topic=CELLS_TOPIC, partition=7, member_id=member_id)
    answer_reads(store, timers, [foreign], for_ms=250)
    assert directory.owner_of(0) is None
    assert directory.member_count == 0
