"""Tests of handovers in a simulated group.

Instances of the best tier fail and return, or owners are overloaded; the number of
handovers must stay low.
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
    """Make an owner overloaded."""
    load = instance.owner_load.load
    load.value, load.is_overloaded = 1.5, True


def relieve(instance):
    """Remove an instance's load."""
    instance.owner_load.load.reset()


def run_until_handover_begins(group, instance):
    """Run until an instance waits with its leave for records to be stored."""
    for _ in range(10_000 // STEP_MS):
        if instance.handover.is_in_progress:
            return
        group.run(STEP_MS)
    pytest.fail("no handover has begun")


def test_only_best_tier_joins_while_available(group):
    group.run(30_000)
    assert set(group.members) == set(group.of(Tier.FULL))
    assert not group.handovers


def test_next_tier_joins_within_standby_delay(group):
    group.stop(group.of(Tier.FULL))
    group.run(int(BETTER_TIER_RETURN_MS) - 100)
    assert not group.members
    group.run(int(JOIN_JITTER_MS) + 300)
    assert group.owner.tier is Tier.PARTIAL
    group.run(20_000)
    assert {member.tier for member in group.members} == {Tier.PARTIAL}


def test_lowest_tier_joins_when_no_other_is_left(group):
    group.stop(group.of(Tier.FULL) + group.of(Tier.PARTIAL))
    group.run(int(BETTER_TIER_RETURN_MS + NEXT_TIER_MS + JOIN_JITTER_MS) + 300)
    assert group.owner.tier is Tier.LEAST


def test_returning_better_tier_gets_cell_once(group):
    full = group.of(Tier.FULL)
    group.stop(full)
    group.run(8_000)
    temporary_owner = group.owner
    group.restart(full)
    group.run(6_000)
    assert group.owner in full
    assert temporary_owner.announcements == 1  # unstored run ends were announced
    assert {member.tier for member in group.members} == {Tier.FULL}
    seen = len(group.owners_seen)
    group.run(30_000)
    assert len(group.owners_seen) == seen


def test_middle_tier_takes_over_from_lowest(group):
    group.stop(group.of(Tier.FULL) + group.of(Tier.PARTIAL))
    group.run(9_000)
    assert group.owner.tier is Tier.LEAST
    group.instances[2].is_up = True  # of the middle tier, on standby
    group.run(12_000)
    assert group.owner.tier is Tier.PARTIAL


def test_handovers_back_off_when_better_tier_flaps(group):
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
def test_no_handover_while_store_is_unavailable(group, without_store):
    full = group.of(Tier.FULL)
    group.stop(full)
    group.run(8_000)
    temporary_owner = group.owner
    group.restart(full)
    without_store_instances = [temporary_owner] if without_store == "stand_in" else full
    for instance in without_store_instances:
        instance.has_store = False
    group.run(10_000)
    assert group.owner is temporary_owner and not temporary_owner.announcements
    for instance in without_store_instances:
        instance.has_store = True
    group.run(8_000)
    assert group.owner in full


def test_handover_waits_for_records_and_is_cancelled_in_outage(group):
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


def test_overloaded_owner_hands_over_within_its_tier(group):
    group.run(5_000)
    first = group.owner
    overload(first)
    group.run(3_000)
    assert group.owner in group.of(Tier.FULL) and group.owner is not first
    assert group.handovers == ["overload"]


def test_overloaded_owner_without_relief_keeps_cell(timers, seeded_random):
    group = SimulatedGroup(timers, full=1)
    group.run(8_000)
    overload(group.owner)
    group.run(30_000)
    assert group.owner.tier is Tier.FULL and not group.handovers


def test_cell_that_overloads_every_owner_is_rarely_handed_over(group):
    group.run(5_000)
    for _ in range(600):
        for instance in group.instances:
            relieve(instance)
        if group.owner is not None:
            overload(group.owner)
        group.run(100)
    assert len(group.handovers) <= 8  # in a minute


def test_overloaded_owner_joins_again_after_cooldown(group):
    group.run(5_000)
    first = group.owner
    overload(first)
    group.run(3_000)
    relieve(first)
    assert first not in group.members
    group.run(8_000)
    assert first in group.members and group.owner is not first


def test_peers_without_tiers_cause_no_handover(group):
    """Older versions send no tier during a rolling update."""
    temporary_owner = group.of(Tier.PARTIAL)[0]
    group.stop(group.of(Tier.FULL))
    group.run(8_000)
    temporary_owner = group.owner
    message = Heartbeat(owned=[], config_version=1, leaving=False, in_group=True)
    for _ in range(20):
        temporary_owner.peers.member_statuses.on_heartbeat("old", message)
        group.run(250)
    assert group.owner is temporary_owner


def test_better_instances_added_later_take_over_permanently(timers, seeded_random):
    group = SimulatedGroup(timers, known={Tier.LEAST, Tier.PARTIAL})
    group.stop(group.of(Tier.FULL))
    group.run(10_000)
    assert {member.tier for member in group.members} == {Tier.PARTIAL}
    group.restart(group.of(Tier.FULL))
    group.run(8_000)
    for _ in range(30):
        assert {member.tier for member in group.members} == {Tier.FULL}
        group.run(1_000)
    assert group.handovers == ["better_tier"]  # members without cells hand over nothing


def test_best_reachable_tier_owns_cell_when_store_is_partly_unreachable(
    timers, seeded_random
):
    """The owner is cut off from the store; no lower tier may own the cell."""
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


def test_owner_without_appends_keeps_cell(group):
    """With joins but no appends answered, a takeover could not finish."""
    group.run(5_000)
    first = group.owner
    first.owners[0].is_store_unavailable = True
    overload(first)
    group.run(5_000)
    assert group.owner is first
    first.owners[0].is_store_unavailable = False
    group.run(3_000)
    assert group.owner is not first


def test_handover_is_cancelled_when_better_tier_is_lost(group):
    full = group.of(Tier.FULL)
    group.stop(full)
    group.run(8_000)
    temporary_owner = group.owner
    temporary_owner.owners[0].has_unstored_records = True
    group.restart(full)
    run_until_handover_begins(group, temporary_owner)
    group.stop(full)
    for _ in range(20):
        for instance in full:  # their links are closed
            temporary_owner.peers.member_statuses.forget(instance.name)
        group.run(50)
    assert group.owner is temporary_owner and not temporary_owner.announcements
    assert ("owner_handovers_given_up", "better_tier") in temporary_owner.metrics.counts


def test_overload_handover_is_cancelled_when_load_drops(group):
    group.run(5_000)
    first = group.owner
    first.owners[0].has_unstored_records = True
    overload(first)
    run_until_handover_begins(group, first)
    relieve(first)
    group.run(3_000)
    assert group.owner is first and not group.handovers


def test_slow_takeover_is_left_to_returning_better_tier(group):
    """Reading the cell over a narrow link takes longer than their return."""
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


def test_overloaded_owner_stays_during_takeover(group):
    """The load of a takeover says nothing about the cell's load."""
    group.run(5_000)
    first = group.owner
    first.owners[0].is_serving = False
    overload(first)
    group.run(10_000)
    assert group.owner is first
    assert not first.metrics.counts  # no handover begins


def test_stopping_instance_does_not_join_after_cooldown(group):
    group.run(5_000)
    first = group.owner
    overload(first)
    group.run(3_000)
    assert first not in group.members
    first.is_stopping = True
    group.run(8_000)
    assert first not in group.members


def test_lost_leave_takes_effect_when_membership_expires(group):
    """The group assigns the cell to this instance until then; no join is sent."""
    group.run(5_000)
    first = group.owner
    first.membership.loses_leaves = True
    overload(first)
    group.run(3_000)
    assert first.membership.left_at_ms is not None
    assert group.owner is not first and group.owner in group.of(Tier.FULL)
    assert not first.owners and not first.membership.in_group


def test_handover_waits_for_pending_join_up_to_timeout(group):
    """A join carried out after the leave would assign the cell here again."""
    group.run(5_000)
    first = group.owner
    first.membership.has_pending_join = True
    overload(first)
    run_until_handover_begins(group, first)
    group.run(600)
    assert group.owner is first
    group.run(200)
    assert group.owner is not first


def test_handover_continues_when_join_is_answered(group):
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
