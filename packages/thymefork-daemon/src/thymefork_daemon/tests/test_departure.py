"""An instance that leaves the group, and what fails on its way out.

The failure is a step that raises, or a join that the store carries out after the leave:
the cell would be dealt to an instance that does not look after it.
"""

import random
from types import SimpleNamespace

import pytest

from thymefork_daemon import standby as standby_module
from thymefork_daemon.capacity import Tier
from thymefork_daemon.departure import Departure
from thymefork_daemon.membership import HEDGE_MS, Membership
from thymefork_daemon.owned_cells import OwnedCells
from thymefork_daemon.standby import JOIN_JITTER_MS, Standby
from thymefork_machines.store import JoinResult
from thymefork_net import Address

from .fakes import FakeStore

CLOCK_MODULES = (standby_module,)


class FakeOwner:
    """Own a cell; tell ends, or fail to."""

    def __init__(self, *, fails=False):
        self.ended = False
        self._fails = fails

    def announce_ends(self):
        if self._fails:
            raise RuntimeError("its ends can't be told")

    def end(self, reason):
        self.ended = True


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def membership(store, timers):
    return Membership(
        store=store,
        timers=timers,
        settings=SimpleNamespace(
            instance="edge-1",
            peer=Address(host="10.0.0.1", port=7000),
            store=SimpleNamespace(min_membership_ms=1_000),
        ),
        life="1",
        on_change=lambda: None,
        must_wait=lambda: False,
    )


@pytest.fixture
def daemon(membership):
    daemon = SimpleNamespace(
        membership=membership,
        wanted=[True],
        is_stopping=False,
        layout=SimpleNamespace(cells=2, partition_of=lambda cell: cell),
        peers=SimpleNamespace(send_heartbeats=lambda: None),
        directory=SimpleNamespace(refresh=lambda: None),
    )
    daemon.worker_list = SimpleNamespace(set_wanted=daemon.wanted.append)
    daemon.owned_cells = OwnedCells(daemon=daemon)
    daemon.owners = daemon.owned_cells.owners
    return daemon


def test_who_left_reads_the_list_of_workers_no_more(daemon, store):
    daemon.owners[0] = owner = FakeOwner()
    Departure(daemon=daemon).leave("handed over", permanent=False)
    assert owner.ended and not daemon.owners and len(store.left) == 1
    assert daemon.wanted[-1] is False


def test_all_cells_are_given_back_though_the_ends_of_one_can_not_be_told(daemon, store):
    owners = [FakeOwner(fails=True), FakeOwner()]
    daemon.owners.update(enumerate(owners))
    with pytest.raises(RuntimeError):  # the timers log it, with its trace
        Departure(daemon=daemon).leave("handed over", permanent=False)
    assert all(owner.ended for owner in owners)
    assert not daemon.owners and len(store.left) == 1
    assert daemon.wanted[-1] is False


def test_who_left_for_good_does_not_join_any_more(membership, store, timers):
    membership.leave(lambda answer: None, permanent=True)
    membership.start()
    timers.run(2_000)
    assert not store.joins


def answer(store, join, generation=1):
    store.joins[join]["on_result"](JoinResult(generation=generation, partitions=()))


def test_a_join_whose_hedge_was_answered_is_still_under_way(membership, store, timers):
    """The store may still carry it out, after the leave."""
    membership.start()
    timers.run(int(HEDGE_MS) + 10)
    assert len(store.joins) == 2
    answer(store, 1)
    assert membership.has_pending_join
    answer(store, 0)
    assert not membership.has_pending_join


def test_a_join_that_is_answered_after_the_leave_is_followed_by_another_leave(
    membership, store, timers
):
    membership.start()
    membership.leave(lambda answer: None, permanent=True)
    assert len(store.left) == 1
    answer(store, 0)
    assert len(store.left) == 2


def test_a_join_of_before_that_is_answered_after_the_return_takes_nobody_out(
    membership, store, timers
):
    membership.start()
    timers.run(20)
    membership.leave(lambda answer: None)
    timers.run(20)
    membership.start()
    answer(store, 0)
    assert len(store.left) == 1


@pytest.fixture
def standby_of(membership, timers):
    random.seed(1)

    def standby_of(is_stopping):
        Standby(
            timers=timers,
            membership=membership,
            directory=SimpleNamespace(
                member_count=0, is_count_fresh=True, refresh=lambda: None
            ),
            layout=SimpleNamespace(cells=1, tiers={Tier.LEAST}, best_tier=Tier.LEAST),
            is_stopping=is_stopping,
        ).start()

    return standby_of


@pytest.mark.parametrize("is_stopping", [True, False])
def test_a_standby_that_stops_does_not_step_in(standby_of, store, timers, is_stopping):
    standby_of(lambda: is_stopping)
    timers.run(JOIN_JITTER_MS + 200)
    assert bool(store.joins) is not is_stopping


def test_a_standby_does_not_step_in_after_the_group_was_left_for_good(
    standby_of, membership, store, timers
):
    standby_of(lambda: False)
    membership.leave(lambda answer: None, permanent=True)
    timers.run(2_200)
    assert not store.joins
