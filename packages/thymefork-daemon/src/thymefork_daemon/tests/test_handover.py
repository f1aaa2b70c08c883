"""Cells go to members that are better placed, and back no more often than it is worth.

The failure is the loss of all instances of the best rank: others stand in, and leave
once those are back. The load is an owner that can't follow while another could.
"""

import random
from types import SimpleNamespace

import pytest

from thymefork_daemon import (
    handover as handover_module,
    members_heard as members_heard_module,
    owner_directory,
    standby as standby_module,
)
from thymefork_daemon.capacity import OwnerLoad, Tier
from thymefork_daemon.handover import Handover
from thymefork_daemon.members_heard import MembersHeard
from thymefork_daemon.standby import BETTER_RETURN_MS, NEXT_RANK_MS, SPREAD_MS, Standby
from thymefork_net.peers import Heartbeat, OwnedCell

from .fakes import FakeMetrics

CLOCKED = (handover_module, members_heard_module, owner_directory, standby_module)
STEP_MS = 10
BEAT_MS = 250


class FakeMembership:
    """Be in the group or not; the group deals its one cell to the earliest member."""

    is_asking = False

    def __init__(self, group, instance):
        self._group = group
        self._instance = instance
        self._wants = False
        self.round_trip_ms = 6.0

    @property
    def in_group(self):
        return self._instance in self._group.members

    @property
    def store_lost(self):
        return self.in_group and not self._instance.has_store

    @property
    def is_settled(self):
        return self.in_group and self._instance.has_store

    def start(self):
        self._wants = True
        self.join()

    def join(self):
        """Join once that is wanted and the store answers."""
        if self._wants and self._instance.is_up and self._instance.has_store:
            if not self.in_group:
                self._group.members.append(self._instance)

    def leave(self, on_done):
        self._wants = False
        self._group.members.remove(self._instance)
        on_done(None)


class OwnTimers:
    """Let an instance's timers do nothing while it is down."""

    def __init__(self, timers, instance):
        self._timers = timers
        self._instance = instance

    def after(self, delay_ms, action):
        return self._timers.after(delay_ms, lambda: self._call(action))

    def every(self, period_ms, action):
        return self._timers.every(period_ms, lambda: self._call(action))

    def _call(self, action):
        if self._instance.is_up:
            action()


class FakeLayout:
    """Know the ranks that were announced, and those that were heard of."""

    cells = 1

    def __init__(self, tiers):
        self.tiers = set(tiers)
        self.note_tier = self.tiers.add

    @property
    def best_tier(self):
        return max(self.tiers)


class Instance:
    """Run the parts that decide on being a member, beside fakes of the others."""

    is_stopping = False

    def __init__(self, group, name, tier):
        self.name, self.tier = name, tier
        self.has_store = True
        self.is_up = True
        self.told = 0
        self.has_unstored = False
        self.owners = {}
        self.timers = OwnTimers(group.timers, self)
        self.metrics = FakeMetrics()
        self.capacity = SimpleNamespace(tier=tier)
        self.owner_load = SimpleNamespace(load=OwnerLoad(link_mbps=0.0))
        self.peers = SimpleNamespace(
            members_heard=MembersHeard(), send_heartbeats=lambda: group.beat(self)
        )
        self.layout = FakeLayout(group.known)
        self.directory = SimpleNamespace(member_count=0, refresh=lambda: None)
        self.membership = FakeMembership(group, self)
        self.handover = Handover(daemon=self, tier=tier)
        self.standby = Standby(
            timers=self.timers,
            membership=self.membership,
            directory=self.directory,
            layout=self.layout,
            tier=tier,
            owner_tier=lambda: self.peers.members_heard.owner_tier(),
            rest_until_ms=lambda: self.handover.rest_until_ms,
        )

    def follow(self, owner):
        if owner is not self:
            self.owners.clear()
        elif not self.owners:
            self.owners[0] = SimpleNamespace(
                is_serving=True,
                store_answers=True,
                has_unstored=False,
                epoch=1,
                tell_ends=self._tell_ends,
                end=lambda reason: None,
            )

    def _tell_ends(self):
        self.told += 1

    def heartbeat(self):
        best_tier = self.handover.best_tier()
        return Heartbeat(
            owned=[OwnedCell(cell=0, epoch=1)] if self.owners else [],
            config_version=1,
            leaving=False,
            in_group=self.membership.in_group,
            store_lost=self.membership.store_lost,
            tier=int(self.tier),
            load_percent=self.owner_load.load.percent,
            best_tier=int(best_tier) if best_tier else None,
            join_ms=6,
        )


class Group:
    """Any number of instances of several ranks, with one cell."""

    def __init__(self, timers, *, full=2, partial=2, least=3, known=None):
        self.timers = timers
        self.members = []
        self.owners_seen = []
        tiers = [Tier.FULL] * full + [Tier.PARTIAL] * partial + [Tier.LEAST] * least
        self.known = set(tiers) | {Tier.LEAST} if known is None else known
        self.instances = [
            Instance(self, f"edge-{n}", tier) for n, tier in enumerate(tiers)
        ]
        for instance in self.instances:
            instance.standby.start()

    def of(self, tier):
        return [instance for instance in self.instances if instance.tier is tier]

    @property
    def owner(self):
        return self.members[0] if self.members else None

    @property
    def handovers(self):
        return [
            reason
            for instance in self.instances
            for name, reason in instance.metrics.counts
            if name == "owner_handovers"
        ]

    def beat(self, sender):
        for other in self.instances:
            if other is not sender and other.is_up and sender.is_up:
                other.peers.members_heard.on_heartbeat(sender.name, sender.heartbeat())

    def lose(self, instances):
        for instance in instances:
            instance.is_up = False
            instance.membership._wants = False
            if instance in self.members:
                self.members.remove(instance)

    def bring_back(self, instances):
        for instance in instances:
            instance.is_up = True
            instance.standby.on_left()

    def run(self, for_ms):
        for _ in range(for_ms // STEP_MS):
            self.timers.run(STEP_MS)
            for instance in self.instances:
                instance.directory.member_count = len(self.members)
                instance.membership.join()
                instance.follow(self.owner)
            if self.timers.now_ms % BEAT_MS < STEP_MS:
                for instance in self.instances:
                    self.beat(instance)
            if not self.owners_seen or self.owners_seen[-1] is not self.owner:
                self.owners_seen.append(self.owner)


@pytest.fixture(params=[1, 2, 3])
def shares(request):
    random.seed(request.param)


@pytest.fixture
def group(timers, shares):
    group = Group(timers)
    group.run(3_000)
    return group


def drown(instance):
    """Have an owner that can't follow."""
    load = instance.owner_load.load
    load.value, load.is_drowned = 1.5, True


def relieve(instance):
    """Have an instance that owns nothing, or can follow."""
    instance.owner_load.load.reset()


def test_only_the_best_rank_takes_part_while_it_is_there(group):
    group.run(30_000)
    assert set(group.members) == set(group.of(Tier.FULL))
    assert not group.handovers


def test_the_next_rank_stands_in_within_the_standby_s_time(group):
    group.lose(group.of(Tier.FULL))
    group.run(int(BETTER_RETURN_MS) - 100)
    assert not group.members
    group.run(int(SPREAD_MS) + 300)
    assert group.owner.tier is Tier.PARTIAL
    group.run(20_000)
    assert {member.tier for member in group.members} == {Tier.PARTIAL}


def test_the_least_stand_in_where_nobody_else_is_left(group):
    group.lose(group.of(Tier.FULL) + group.of(Tier.PARTIAL))
    group.run(int(BETTER_RETURN_MS + NEXT_RANK_MS + SPREAD_MS) + 300)
    assert group.owner.tier is Tier.LEAST


def test_better_ones_that_return_get_the_cell_once(group):
    full = group.of(Tier.FULL)
    group.lose(full)
    group.run(8_000)
    stand_in = group.owner
    group.bring_back(full)
    group.run(6_000)
    assert group.owner in full
    assert stand_in.told == 1  # what it had heard and not stored went along
    assert {member.tier for member in group.members} == {Tier.FULL}
    seen = len(group.owners_seen)
    group.run(30_000)
    assert len(group.owners_seen) == seen


def test_a_middle_rank_takes_over_from_the_least(group):
    group.lose(group.of(Tier.FULL) + group.of(Tier.PARTIAL))
    group.run(9_000)
    assert group.owner.tier is Tier.LEAST
    group.instances[2].is_up = True  # a middle one, which stands by
    group.run(12_000)
    assert group.owner.tier is Tier.PARTIAL


def test_better_ones_that_come_and_go_are_followed_ever_more_seldom(group):
    full = group.of(Tier.FULL)
    for _ in range(10):
        group.lose(full)
        group.run(8_000)
        group.bring_back(full)
        group.run(3_000)
    assert len(group.handovers) <= 4
    group.run(60_000)
    assert group.owner in full


@pytest.mark.parametrize("without_store", ["stand_in", "better"])
def test_nothing_is_handed_over_while_the_store_is_away(group, without_store):
    full = group.of(Tier.FULL)
    group.lose(full)
    group.run(8_000)
    stand_in = group.owner
    group.bring_back(full)
    away = [stand_in] if without_store == "stand_in" else full
    for instance in away:
        instance.has_store = False
    group.run(10_000)
    assert group.owner is stand_in and not stand_in.told
    for instance in away:
        instance.has_store = True
    group.run(8_000)
    assert group.owner in full


def test_a_handover_waits_for_what_is_not_stored_and_ends_with_the_store(group):
    full = group.of(Tier.FULL)
    group.lose(full)
    group.run(8_000)
    stand_in = group.owner
    stand_in.owners[0].has_unstored = True
    group.bring_back(full)
    while stand_in.handover._reason is None:
        group.run(STEP_MS)
    group.run(100)
    assert group.owner is stand_in
    stand_in.has_store = False
    group.run(3_000)
    assert group.owner is stand_in and not stand_in.told


def test_a_drowned_owner_gives_its_cell_to_one_of_its_rank(group):
    group.run(5_000)
    first = group.owner
    drown(first)
    group.run(3_000)
    assert group.owner in group.of(Tier.FULL) and group.owner is not first
    assert group.handovers == ["overload"]


def test_a_drowned_owner_without_relief_stays(timers, shares):
    group = Group(timers, full=1)
    group.run(8_000)
    drown(group.owner)
    group.run(30_000)
    assert group.owner.tier is Tier.FULL and not group.handovers


def test_two_that_drown_in_turn_do_not_pass_the_cell_to_and_fro(group):
    """A cell that drowns every owner costs no takeover every few seconds as well."""
    group.run(5_000)
    for _ in range(600):
        for instance in group.instances:
            relieve(instance)
        if group.owner is not None:
            drown(group.owner)
        group.run(100)
    assert len(group.handovers) <= 8  # in a minute


def test_a_drowned_owner_rests_and_takes_part_again(group):
    group.run(5_000)
    first = group.owner
    drown(first)
    group.run(3_000)
    relieve(first)
    assert first not in group.members
    group.run(8_000)
    assert first in group.members and group.owner is not first


def test_peers_that_know_no_ranks_are_left_alone(group):
    """In a roll old instances tell none; nobody leaves the group for them."""
    stand_in = group.of(Tier.PARTIAL)[0]
    group.lose(group.of(Tier.FULL))
    group.run(8_000)
    stand_in = group.owner
    message = Heartbeat(owned=[], config_version=1, leaving=False, in_group=True)
    for _ in range(20):
        stand_in.peers.members_heard.on_heartbeat("old", message)
        group.run(250)
    assert group.owner is stand_in


def test_better_instances_that_are_added_later_take_over_for_good(timers, shares):
    group = Group(timers, known={Tier.LEAST, Tier.PARTIAL})
    group.lose(group.of(Tier.FULL))
    group.run(10_000)
    assert {member.tier for member in group.members} == {Tier.PARTIAL}
    group.bring_back(group.of(Tier.FULL))
    group.run(8_000)
    for _ in range(30):
        assert {member.tier for member in group.members} == {Tier.FULL}
        group.run(1_000)
    assert group.handovers == ["better_tier"] * 2
