"""Membership in the group, and the directory of owners."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import owner_directory
from thymefork_daemon.membership import CELLS_TOPIC, Membership
from thymefork_daemon.owner_directory import OwnerDirectory
from thymefork_machines.store import JoinResult, MemberRow, PartitionRow
from thymefork_net import Address

from .fakes import FailsOnceListener, FakeStore

CLOCK_MODULES = (owner_directory,)

PEER = Address(host="10.0.0.1", port=7000)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def make(store, timers):
    def make(on_change=lambda: None, must_wait=lambda: False):
        settings = SimpleNamespace(
            instance="edge-1",
            peer=PEER,
            store=SimpleNamespace(min_membership_ms=1_000),
        )
        return Membership(
            store=store,
            timers=timers,
            settings=settings,
            incarnation="1",
            on_change=on_change,
            must_wait=must_wait,
        )

    return make


def answer_join(store, generation, *partitions, join=-1):
    rows = tuple(PartitionRow(topic=CELLS_TOPIC, partition=p) for p in partitions)
    result = JoinResult(generation=generation, partitions=rows)
    store.joins[join]["on_result"](result)


def test_validity_counts_from_when_the_join_was_sent(make, store, timers):
    membership = make()
    membership.start()
    timers.run(400)  # the first join is answered late
    answer_join(store, 3, 7, join=0)
    assert membership.holds(7, 3)
    timers.run(599)
    assert membership.holds(7, 3)
    timers.run(2)
    assert not membership.holds(7, 3)
    assert membership.holds(7, 3, grace_ms=500.0)


def test_unanswered_join_is_hedged(make, store, timers):
    # A lost answer must not end the membership.
    membership = make()
    membership.start()
    timers.run(100)
    assert len(store.joins) == 2
    answer_join(store, 3, 7)
    store.joins[0]["on_result"](None)  # the first join's timeout changes nothing
    assert membership.holds(7, 3)


def test_epoch_stays_while_the_generation_rises(make, store, timers):
    membership = make()
    membership.start()
    answer_join(store, 3, 7)
    timers.run(300)
    answer_join(store, 5, 7)
    assert membership.holds(7, 3)


def test_dropped_partition_returns_only_with_a_later_generation(make, store, timers):
    # Guards against repeated takeovers under a fenced epoch.
    membership = make()
    membership.start()
    answer_join(store, 3, 7)
    membership.drop_partition(7, 3)
    answer_join(store, 3, 7)
    assert 7 not in membership.epochs
    timers.run(300)
    answer_join(store, 4, 7)
    assert membership.epochs == {7: 4}


def test_late_answer_to_an_earlier_join_is_ignored(make, store, timers):
    membership = make()
    membership.start()
    timers.run(100)  # the first join is unanswered, so a second one is sent
    answer_join(store, 4)
    answer_join(store, 4, 7, join=0)
    assert membership.epochs == {}


def test_epoch_is_never_used_for_two_ownerships(make, store, timers):
    # Two owners with one epoch would both be believed.
    membership = make()
    membership.start()
    answer_join(store, 4, 7)
    timers.run(300)
    answer_join(store, 4)
    timers.run(300)
    answer_join(store, 4, 7)
    assert membership.epochs == {}
    for _ in range(3):
        timers.run(300)
        answer_join(store, 4, 7)
    assert store.left  # leaves and rejoins, so that the generation rises
    timers.run(300)
    answer_join(store, 6, 7)
    assert membership.epochs == {7: 6}


def test_joins_continue_after_a_listener_raised(make, store, timers):
    listener = FailsOnceListener()
    membership = make(on_change=listener)
    membership.start()
    with pytest.raises(RuntimeError):  # the HTTP pool logs it
        answer_join(store, 3, 7)
    joins = len(store.joins)
    timers.run(300)
    assert len(store.joins) > joins
    answer_join(store, 3, 7)
    assert membership.holds(7, 3) and len(listener.notifications) == 1
    timers.run(300)
    answer_join(store, 3, 7)
    assert len(listener.notifications) == 1


@pytest.fixture
def directory(store, timers):
    return OwnerDirectory(
        store=store,
        timers=timers,
        own_id="me|10.0.0.1|7000|1",
        partition_of=lambda cell: 7,
        on_change=lambda: None,
        on_removed=lambda: None,
    )


def row(host, incarnation="1"):
    member_id = f"x|{host}|7000|{incarnation}"
    return MemberRow(topic=CELLS_TOPIC, partition=7, member_id=member_id)


def test_dead_member_is_looked_up_by_a_new_read(directory, store):
    # An outdated read may name a former owner.
    directory.refresh()
    directory.remove_dead(Address(host="10.0.0.2", port=7000))
    store.owner_calls[-1]((row("10.0.0.2", "9"),))
    assert store.left == ["x|10.0.0.2|7000|9"]


def test_later_incarnation_is_not_removed(directory, store, timers):
    directory.remove_dead(Address(host="10.0.0.2", port=7000))
    timers.run(400)
    store.owner_calls[-1]((row("10.0.0.2", "10"),))
    assert not store.left


def test_owner_that_did_not_answer_is_forgotten(directory, store):
    address = Address(host="10.0.0.2", port=7000)
    directory.record_owner(0, address, 1)
    assert directory.owner_of(0) == address
    directory.forget(0, address)
    assert directory.owner_of(0) is None


def test_store_counts_as_lost_after_unanswered_joins(make, store, timers):
    membership = make()
    membership.start()
    assert not membership.in_group
    answer_join(store, 1)
    assert membership.is_healthy
    timers.run(490)
    assert membership.is_healthy
    timers.run(20)
    assert membership.store_lost and not membership.is_healthy


def test_store_counts_as_lost_after_rejected_joins(make, store, timers):
    """Guards against an owner that is not replaced while its joins are rejected."""
    membership = make()
    membership.start()
    answer_join(store, 1)
    answered = 1
    for _ in range(60):
        timers.run(10)
        for join in store.joins[answered:]:
            join["on_result"](None)
        answered = len(store.joins)
    assert membership.store_lost


def answer_joins(store, timers, answered, for_ms):
    """Answer further joins at once for a while; return the number answered so far."""
    for _ in range(for_ms // 10):
        for join in range(answered, len(store.joins)):
            answer_join(store, 1, join=join)
            answered += 1
        timers.run(10)
    return answered


def test_member_is_not_healthy_right_after_an_outage(make, store, timers):
    """Guards against evicting owners that recover a little later."""
    membership = make()
    membership.start()
    answer_join(store, 1)
    timers.run(1_500)
    joins = answer_joins(store, timers, len(store.joins) - 1, 20)
    assert not membership.store_lost and not membership.is_healthy
    joins = answer_joins(store, timers, joins, 350)
    assert not membership.is_healthy
    answer_joins(store, timers, joins, 50)
    assert membership.is_healthy


def test_member_waits_for_the_owner_after_an_outage(make, store, timers):
    """A new owner would not know the workers that are not listed again yet."""
    waits = []
    membership = make(must_wait=lambda: bool(waits))
    membership.start()
    answer_join(store, 1)
    waits.append(True)
    joins = answer_joins(store, timers, len(store.joins) - 1, 500)
    timers.run(600)
    assert membership.store_lost
    joins = len(store.joins)
    timers.run(3_000)
    assert len(store.joins) == joins
    waits.clear()
    timers.run(50)
    assert len(store.joins) == joins + 1


def test_member_with_a_slow_store_is_not_healthy(make, store, timers):
    membership = make()
    membership.start()
    timers.run(150)
    answer_join(store, 1, join=0)
    assert membership.in_group and not membership.store_lost
    assert not membership.is_healthy
    timers.run(500)  # the next join is as slow as the first
    assert not membership.store_lost


def test_report_of_a_former_owner_is_ignored(directory, store):
    former, successor = (Address(host=f"10.0.0.{n}", port=7000) for n in (2, 3))
    assert directory.record_owner(0, former, 1)
    assert directory.record_owner(0, successor, 2)
    assert not directory.record_owner(0, former, 1)
    assert directory.owner_of(0) == successor


def test_new_member_joins_more_often_at_first(make, store, timers):
    """Guards against slow reassignment after all instances were lost."""
    membership = make()
    membership.start()
    answer_join(store, 1, 7, 3)
    answer_join(store, 1, 7, 3)
    joins = len(store.joins)
    timers.run(70)
    assert len(store.joins) == joins + 1
    timers.run(2_000)
    answer_join(store, 1, 7, 3)
    joins = len(store.joins)
    timers.run(70)
    assert len(store.joins) == joins


def test_new_member_that_must_wait_sends_no_join(make, store, timers):
    """The store would execute its join on recovery, before the owner's."""
    waits = [True]
    membership = make(must_wait=lambda: bool(waits))
    membership.start()
    timers.run(2_000)
    assert not store.joins
    waits.clear()
    timers.run(50)
    assert len(store.joins) == 1


def test_instance_rejoins_as_a_new_member(make, store, timers):
    membership = make()
    membership.start()
    answer_join(store, 3, 7)
    membership.leave(lambda answer: None)
    assert not membership.in_group and not membership.holds(7, 3)
    timers.run(5_000)
    calls = len(store.joins)
    membership.start()
    assert len(store.joins) == calls + 1
    assert not membership.in_group and not membership.store_lost
    answer_join(store, 3, 7)  # the generation under which it was released
    assert not membership.holds(7, 3)
    timers.run(300)
    answer_join(store, 4, 7)
    assert membership.holds(7, 4)


def test_join_answer_from_before_a_leave_is_ignored(make, store, timers):
    membership = make()
    membership.start()
    answer_join(store, 3, 7)
    timers.run(400)  # another join is pending
    late = len(store.joins) - 1
    assert membership.has_pending_join
    membership.leave(lambda answer: None)
    timers.run(1_000)
    membership.start()
    answer_join(store, 4, 7, join=late)
    assert not membership.in_group and not membership.epochs
