"""Statuses that peers report as members of the group."""

import pytest

from thymefork_daemon import member_statuses as member_statuses_module
from thymefork_daemon.capacity import Tier
from thymefork_daemon.member_statuses import MemberStatuses
from thymefork_net.peers import Heartbeat, OwnedCell

CLOCK_MODULES = (member_statuses_module,)


def heartbeat(
    *, owns=False, in_group=True, store_lost=False, leaving=False, **reported
):
    return Heartbeat(
        owned=[OwnedCell(cell=0, epoch=1)] if owns else [],
        config_version=1,
        leaving=leaving,
        in_group=in_group,
        store_lost=store_lost,
        **reported,
    )


@pytest.fixture
def statuses_by_peer(timers):
    return MemberStatuses()


def receive(statuses_by_peer, timers, times, address="a", **fields):
    for _ in range(times):
        statuses_by_peer.on_heartbeat(address, heartbeat(**fields))
        timers.run(250)


def is_healthy(statuses_by_peer, timers):
    return statuses_by_peer.statuses[0].is_healthy_for(900.0, timers.now_ms)


def test_member_is_healthy_after_repeated_heartbeats(statuses_by_peer, timers):
    receive(statuses_by_peer, timers, 3, tier=3)
    assert not is_healthy(statuses_by_peer, timers)
    receive(statuses_by_peer, timers, 3, tier=3)
    assert is_healthy(statuses_by_peer, timers)


@pytest.mark.parametrize(
    "trouble", [{"store_lost": True}, {"leaving": True}, {"in_group": False}]
)
def test_member_that_cannot_own_starts_over(statuses_by_peer, timers, trouble):
    receive(statuses_by_peer, timers, 6, tier=3)
    receive(statuses_by_peer, timers, 1, tier=3, **trouble)
    receive(statuses_by_peer, timers, 2, tier=3)
    assert not is_healthy(statuses_by_peer, timers)


def test_silent_member_is_not_healthy(statuses_by_peer, timers):
    receive(statuses_by_peer, timers, 6, tier=3)
    timers.run(800)
    assert not is_healthy(statuses_by_peer, timers)
    receive(statuses_by_peer, timers, 2, tier=3)
    assert not is_healthy(statuses_by_peer, timers)


def test_owner_tier_is_unknown_unless_reported(statuses_by_peer, timers):
    assert statuses_by_peer.owner_tier() is None
    receive(statuses_by_peer, timers, 1, owns=True, tier=1)
    assert statuses_by_peer.owner_tier() is Tier.LEAST
    receive(statuses_by_peer, timers, 1, address="old", owns=True)
    assert statuses_by_peer.owner_tier() is None


def test_join_time_is_the_median_of_fresh_members(statuses_by_peer, timers):
    for address, join_ms in (("a", 6), ("b", 7), ("c", 400)):
        statuses_by_peer.on_heartbeat(address, heartbeat(tier=3, join_ms=join_ms))
    statuses_by_peer.on_heartbeat("d", heartbeat(in_group=False, tier=1))
    assert statuses_by_peer.join_ms() == 7.0
    timers.run(1_000)
    assert statuses_by_peer.join_ms() is None


def test_heartbeat_without_an_address_is_ignored(statuses_by_peer):
    statuses_by_peer.on_heartbeat(None, heartbeat(tier=3))
    assert not statuses_by_peer.statuses
