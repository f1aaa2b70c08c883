"""Departure of an instance from the group.

A step that raises, or a join that the store executes after the leave, must not leave a
cell with an instance that does not serve it.
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
    """Own a cell; announce run ends, or raise."""

    def __init__(self, *, fails=False):
        self.ended = False
        self._fails = fails

    def announce_ends(self):
        if self._fails:
            raise RuntimeError("run ends not announced")

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
        incarnation="1",
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


def test_worker_list_is_not_read_after_leaving(daemon, store):
    daemon.owners[0] = owner = FakeOwner()
    Departure(daemon=daemon).leave("handed over", permanent=False)
    assert owner.ended and not daemon.owners and len(store.left) == 1
    assert daemon.wanted[-1] is False


def test_all_cells_are_released_though_one_announcement_raises(daemon, store):
    owners = [FakeOwner(fails=True), FakeOwner()]
    daemon.owners.update(enumerate(owners))
    with pytest.raises(RuntimeError):  # the timers log it
        Departure(daemon=daemon).leave("handed over", permanent=False)
    assert all(owner.ended for owner in owners)
    assert not daemon.owners and len(store.left) == 1
    assert daemon.wanted[-1] is False


def test_instance_that_left_permanently_does_not_rejoin(membership, store, timers):
    membership.leave(lambda answer: None, permanent=True)
    membership.start()
    timers.run(2_000)
    assert not store.joins


def answer(store, join, generation=1):
    store.joins[join]["on_result"](JoinResult(generation=generation, partitions=()))


def test_join_stays_pending_after_its_hedge_was_answered(membership, store, timers):
    """The store may still execute the first join, after the leave."""
    membership.start()
    timers.run(int(HEDGE_MS) + 10)
    assert len(store.joins) == 2
    answer(store, 1)
    assert membership.has_pending_join
    answer(store, 0)
    assert not membership.has_pending_join


def test_join_answered_after_the_leave_triggers_another_leave(
    membership, store, timers
):
    membership.start()
    membership.leave(lambda answer: None, permanent=True)
    assert len(store.left) == 1
    answer(store, 0)
    assert len(store.left) == 2


def test_earlier_join_answered_after_rejoining_triggers_no_leave(
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
def test_stopping_standby_does_not_join(standby_of, store, timers, is_stopping):
    standby_of(lambda: is_stopping)
    timers.run(JOIN_JITTER_MS + 200)
    assert bool(store.joins) is not is_stopping


def test_standby_does_not_join_after_leaving_permanently(
    standby_of, membership, store, timers
):
    standby_of(lambda: False)
    membership.leave(lambda answer: None, permanent=True)
    timers.run(2_200)
    assert not store.joins
