"""Cells go to members that are better placed, and back no more often than it is worth.

The failure is the loss of all instances of the best tier: others stand in, and leave
once those are back. The load is an owner that can't follow while another could.
"""

import random

import pytest

from thymefork_daemon import (
    handover as handover_module,
    member_statuses as member_statuses_module,
    owner_directory,
    standby as standby_module,
)
from thymefork_daemon.capacity import Tier
from thymefork_daemon.standby import BETTER_TIER_RETURN_MS, JOIN_JITTER_MS, NEXT_TIER_MS
from thymefork_net.peers import Heartbeat

from .simulated_group import STEP_MS, SimulatedGroup

CLOCK_MODULES = (
    handover_module,
    member_statuses_module,
    owner_directory,
    standby_module,
)


@pytest.fixture(params=[1, 2, 3])
def seeded_random(request):
    random.seed(request.param)


@pytest.fixture
def group(timers, seeded_random):
    group = SimulatedGroup(timers)
    group.run(3_000)
    return group


def overload(instance):
    """Have an owner that can't follow."""
    load = instance.owner_load.load
    load.value, load.is_overloaded = 1.5, True


def relieve(instance):
    """Have an instance that owns nothing, or can follow."""
    instance.owner_load.load.reset()


def run_until_handover_begins(group, instance):
    """Run until an instance has decided to leave, and waits for what is not stored."""
    for _ in range(10_000 // STEP_MS):
        if instance.handover.is_in_progress:
            return
        group.run(STEP_MS)
    pytest.fail("it does not begin to leave")


def test_only_the_best_tier_takes_part_while_it_is_there(group):
    group.run(30_000)
    assert set(group.members) == set(group.of(Tier.FULL))
    assert not group.handovers


def test_the_next_tier_stands_in_within_the_standby_s_time(group):
    group.stop(group.of(Tier.FULL))
    group.run(int(BETTER_TIER_RETURN_MS) - 100)
    assert not group.members
    group.run(int(JOIN_JITTER_MS) + 300)
    assert group.owner.tier is Tier.PARTIAL
    group.run(20_000)
    assert {member.tier for member in group.members} == {Tier.PARTIAL}


def test_the_least_stand_in_where_nobody_else_is_left(group):
    group.stop(group.of(Tier.FULL) + group.of(Tier.PARTIAL))
    group.run(int(BETTER_TIER_RETURN_MS + NEXT_TIER_MS + JOIN_JITTER_MS) + 300)
    assert group.owner.tier is Tier.LEAST


def test_better_ones_that_return_get_the_cell_once(group):
    full = group.of(Tier.FULL)
    group.stop(full)
    group.run(8_000)
    temporary_owner = group.owner
    group.restart(full)
    group.run(6_000)
    assert group.owner in full
    assert (
        temporary_owner.announcements == 1
    )  # what it had heard and not stored went along
    assert {member.tier for member in group.members} == {Tier.FULL}
    seen = len(group.owners_seen)
    group.run(30_000)
    assert len(group.owners_seen) == seen


def test_a_middle_tier_takes_over_from_the_least(group):
    group.stop(group.of(Tier.FULL) + group.of(Tier.PARTIAL))
    group.run(9_000)
    assert group.owner.tier is Tier.LEAST
    group.instances[2].is_up = True  # a middle one, which stands by
    group.run(12_000)
    assert group.owner.tier is Tier.PARTIAL


def test_better_ones_that_come_and_go_are_followed_ever_more_seldom(group):
    full = group.of(Tier.FULL)
    for _ in range(10):
        group.stop(full)
        group.run(8_000)
        group.restart(full)
        group.run(3_000)
    assert len(group.handovers) <= 4
    group.run(60_000)
    assert group.owner in full


@pytest.mark.parametrize("without_store", ["stand_in", "better"])
def test_nothing_is_handed_over_while_the_store_is_away(group, without_store):
    full = group.of(Tier.FULL)
    group.stop(full)
    group.run(8_000)
    temporary_owner = group.owner
    group.restart(full)
    away = [temporary_owner] if without_store == "stand_in" else full
    for instance in away:
        instance.has_store = False
    group.run(10_000)
    assert group.owner is temporary_owner and not temporary_owner.announcements
    for instance in away:
        instance.has_store = True
    group.run(8_000)
    assert group.owner in full


def test_a_handover_waits_for_what_is_not_stored_and_ends_with_the_store(group):
    full = group.of(Tier.FULL)
    group.stop(full)
    group.run(8_000)
    temporary_owner = group.owner
    temporary_owner.owners[0].has_unstored_records = True
    group.restart(full)
    run_until_handover_begins(group, temporary_owner)
    group.run(100)
    assert group.owner is temporary_owner
    temporary_owner.has_store = False
    group.run(3_000)
    assert group.owner is temporary_owner and not temporary_owner.announcements


def test_an_overloaded_owner_gives_its_cell_to_one_of_its_rank(group):
    group.run(5_000)
    first = group.owner
    overload(first)
    group.run(3_000)
    assert group.owner in group.of(Tier.FULL) and group.owner is not first
    assert group.handovers == ["overload"]


def test_an_overloaded_owner_without_relief_stays(timers, seeded_random):
    group = SimulatedGroup(timers, full=1)
    group.run(8_000)
    overload(group.owner)
    group.run(30_000)
    assert group.owner.tier is Tier.FULL and not group.handovers


def test_two_that_are_overloaded_in_turn_do_not_pass_the_cell_to_and_fro(group):
    """A cell that overloads every owner costs no takeover every few seconds as well."""
    group.run(5_000)
    for _ in range(600):
        for instance in group.instances:
            relieve(instance)
        if group.owner is not None:
            overload(group.owner)
        group.run(100)
    assert len(group.handovers) <= 8  # in a minute


def test_an_overloaded_owner_rests_and_takes_part_again(group):
    group.run(5_000)
    first = group.owner
    overload(first)
    group.run(3_000)
    relieve(first)
    assert first not in group.members
    group.run(8_000)
    assert first in group.members and group.owner is not first


def test_peers_that_know_no_tiers_are_left_alone(group):
    """In a roll old instances tell none; nobody leaves the group for them."""
    temporary_owner = group.of(Tier.PARTIAL)[0]
    group.stop(group.of(Tier.FULL))
    group.run(8_000)
    temporary_owner = group.owner
    message = Heartbeat(owned=[], config_version=1, leaving=False, in_group=True)
    for _ in range(20):
        temporary_owner.peers.member_statuses.on_heartbeat("old", message)
        group.run(250)
    assert group.owner is temporary_owner


def test_better_instances_that_are_added_later_take_over_for_good(
    timers, seeded_random
):
    group = SimulatedGroup(timers, known={Tier.LEAST, Tier.PARTIAL})
    group.stop(group.of(Tier.FULL))
    group.run(10_000)
    assert {member.tier for member in group.members} == {Tier.PARTIAL}
    group.restart(group.of(Tier.FULL))
    group.run(8_000)
    for _ in range(30):
        assert {member.tier for member in group.members} == {Tier.FULL}
        group.run(1_000)
    assert group.handovers == ["better_tier"]  # who owned nothing gave nothing


def test_with_a_third_cut_from_the_store_the_best_that_are_left_own(
    timers, seeded_random
):
    """The owner is among those cut off; no lower tier gets a turn, then or later."""
    group = SimulatedGroup(timers, full=3, partial=3, least=6)
    group.run(3_000)
    first = group.owner
    cut = [first, group.of(Tier.PARTIAL)[0], *group.of(Tier.LEAST)[:2]]
    group.disconnect_from_store(cut)
    group.run(9_000)
    assert group.owner.tier is Tier.FULL and group.owner is not first
    group.reconnect_to_store(cut)
    group.run(10_000)
    seen = [owner.tier for owner in group.owners_seen if owner is not None]
    assert set(seen) == {Tier.FULL}
    assert not group.handovers


def test_an_owner_whose_appends_are_not_taken_keeps_its_cell(group):
    """Joins are answered, appends are not: a takeover would not come to its end."""
    group.run(5_000)
    first = group.owner
    first.owners[0].is_store_unavailable = True
    overload(first)
    group.run(5_000)
    assert group.owner is first
    first.owners[0].is_store_unavailable = False
    group.run(3_000)
    assert group.owner is not first


def test_a_handover_is_given_up_when_the_better_ones_go_while_it_waits(group):
    full = group.of(Tier.FULL)
    group.stop(full)
    group.run(8_000)
    temporary_owner = group.owner
    temporary_owner.owners[0].has_unstored_records = True
    group.restart(full)
    run_until_handover_begins(group, temporary_owner)
    group.stop(full)
    for _ in range(20):
        for instance in full:  # their links broke
            temporary_owner.peers.member_statuses.forget(instance.name)
        group.run(50)
    assert group.owner is temporary_owner and not temporary_owner.announcements
    assert ("owner_handovers_given_up", "better_tier") in temporary_owner.metrics.counts


def test_a_handover_for_overload_is_given_up_when_the_owner_can_follow(group):
    group.run(5_000)
    first = group.owner
    first.owners[0].has_unstored_records = True
    overload(first)
    run_until_handover_begins(group, first)
    relieve(first)
    group.run(3_000)
    assert group.owner is first and not group.handovers


def test_a_stand_in_whose_takeover_takes_long_leaves_it_to_better_ones(group):
    """It reads the whole cell over a narrow link while they are back."""
    full = group.of(Tier.FULL)
    group.stop(full)
    for instance in group.of(Tier.PARTIAL):
        instance.takes_over_slowly = True
    group.run(5_500)
    temporary_owner = group.owner
    assert temporary_owner.tier is Tier.PARTIAL
    assert not temporary_owner.owners[0].is_serving
    group.restart(full)
    group.run(8_000)
    assert group.owner in full


def test_an_overloaded_owner_does_not_leave_amid_a_takeover(group):
    """What it meets then is the takeover's load, not the cell's."""
    group.run(5_000)
    first = group.owner
    first.owners[0].is_serving = False
    overload(first)
    group.run(10_000)
    assert group.owner is first
    assert not first.metrics.counts  # nothing is begun and given up either


def test_an_instance_that_cools_down_and_stops_does_not_join(group):
    group.run(5_000)
    first = group.owner
    overload(first)
    group.run(3_000)
    assert first not in group.members
    first.is_stopping = True  # the operator's answer to the overload
    group.run(8_000)
    assert first not in group.members


def test_a_leave_that_is_not_carried_out_costs_the_time_of_a_membership(group):
    """The store deals it the cell until its membership has lapsed; no join is sent."""
    group.run(5_000)
    first = group.owner
    first.membership.loses_leaves = True
    overload(first)
    group.run(3_000)
    assert first.membership.left_at_ms is not None
    assert group.owner is not first and group.owner in group.of(Tier.FULL)
    assert not first.owners and not first.membership.in_group


def test_a_join_that_is_under_way_is_waited_for_and_not_for_ever(group):
    """Carried out after the leave it would have the cell dealt to who left it."""
    group.run(5_000)
    first = group.owner
    first.membership.has_pending_join = True
    overload(first)
    run_until_handover_begins(group, first)
    group.run(600)
    assert group.owner is first
    group.run(200)
    assert group.owner is not first


def test_a_join_that_is_answered_lets_a_handover_go_on(group):
    group.run(5_000)
    first = group.owner
    first.membership.has_pending_join = True
    overload(first)
    run_until_handover_begins(group, first)
    group.run(50)
    assert group.owner is first
    first.membership.has_pending_join = False
    group.run(50)
    assert group.owner is not first
