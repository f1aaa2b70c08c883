"""What peers say of themselves as members of the group."""

import pytest

from thymefork_daemon import member_statuses as member_statuses_module
from thymefork_daemon.capacity import Tier
from thymefork_daemon.member_statuses import MemberStatuses
from thymefork_net.peers import Heartbeat, OwnedCell

CLOCK_MODULES = (member_statuses_module,)


def beat(*, owns=False, in_group=True, store_lost=False, leaving=False, **told):
    return Heartbeat(
        owned=[OwnedCell(cell=0, epoch=1)] if owns else [],
        config_version=1,
        leaving=leaving,
        in_group=in_group,
        store_lost=store_lost,
        **told,
    )


@pytest.fixture
def heard(timers):
    return MemberStatuses()


def say(heard, timers, times, address="a", **fields):
    for _ in range(times):
        heard.on_heartbeat(address, beat(**fields))
        timers.run(250)


def is_healthy(heard, timers):
    return heard.statuses[0].is_healthy_for(900.0, timers.now_ms)


def test_a_member_is_well_once_it_has_said_so_for_a_while(heard, timers):
    say(heard, timers, 3, tier=3)
    assert not is_healthy(heard, timers)
    say(heard, timers, 3, tier=3)
    assert is_healthy(heard, timers)


@pytest.mark.parametrize(
    "trouble", [{"store_lost": True}, {"leaving": True}, {"in_group": False}]
)
def test_whoever_can_not_own_begins_anew(heard, timers, trouble):
    say(heard, timers, 6, tier=3)
    say(heard, timers, 1, tier=3, **trouble)
    say(heard, timers, 2, tier=3)
    assert not is_healthy(heard, timers)


def test_a_member_that_fell_silent_is_not_counted_on(heard, timers):
    say(heard, timers, 6, tier=3)
    timers.run(800)
    assert not is_healthy(heard, timers)
    say(heard, timers, 2, tier=3)
    assert not is_healthy(heard, timers)


def test_the_tier_of_an_owner_is_known_only_if_it_tells_one(heard, timers):
    assert heard.owner_tier() is None
    say(heard, timers, 1, owns=True, tier=1)
    assert heard.owner_tier() is Tier.LEAST
    say(heard, timers, 1, address="old", owns=True)
    assert heard.owner_tier() is None


def test_joins_are_compared_with_those_of_most_members(heard, timers):
    for address, join_ms in (("a", 6), ("b", 7), ("c", 400)):
        heard.on_heartbeat(address, beat(tier=3, join_ms=join_ms))
    heard.on_heartbeat("d", beat(in_group=False, tier=1))
    assert heard.join_ms() == 7.0
    timers.run(1_000)
    assert heard.join_ms() is None


def test_a_link_without_a_hello_says_nothing_of_a_member(heard):
    heard.on_heartbeat(None, beat(tier=3))
    assert not heard.statuses
