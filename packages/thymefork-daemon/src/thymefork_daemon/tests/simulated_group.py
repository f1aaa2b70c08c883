"""Simulated group of instances that share one cell, on one fake clock."""

from types import SimpleNamespace

from thymefork_daemon.capacity import OwnerLoad, Tier
from thymefork_daemon.handover import Handover
from thymefork_daemon.member_statuses import MemberStatuses
from thymefork_daemon.standby import Standby
from thymefork_net.peers import Heartbeat, OwnedCell

from .fakes import FakeMetrics

__all__ = ["STEP_MS", "SimulatedGroup"]

STEP_MS = 10
HEARTBEAT_MS = 250
TTL_MS = 1_000


class FakeMembership:
    """Membership in a group that assigns its one cell to the earliest member."""

    has_pending_join = False
    loses_leaves = False
    left_at_ms = None

    def __init__(self, group, instance):
        self._group = group
        self._instance = instance
        self._wants = False
        self.round_trip_ms = 6.0

    @property
    def in_group(self):
        return self._instance in self._group.members and self.left_at_ms is None

    @property
    def store_lost(self):
        return self.in_group and not self._instance.has_store

    @property
    def is_stable(self):
        return self.in_group and self._instance.has_store

    def start(self):
        self._wants = True
        self.left_at_ms = None
        self.join()

    def join(self):
        """Join if wanted and the store answers."""
        if self._wants and self._instance.is_up and self._instance.has_store:
            if self._instance not in self._group.members:
                self._group.members.append(self._instance)

    def leave(self, on_done, *, permanent=False):
        """Leave; if the call is lost, the membership lapses instead."""
        self._wants = False
        self.left_at_ms = self._instance.timers.now_ms
        if not self.loses_leaves:
            self._group.members.remove(self._instance)
            on_done(None)


class InstanceTimers:
    """Timers of one instance, which do not fire while it is down."""

    def __init__(self, timers, instance):
        self._timers = timers
        self._instance = instance

    @property
    def now_ms(self):
        return self._timers.now_ms

    def after(self, delay_ms, action):
        return self._timers.after(delay_ms, lambda: self._call(action))

    def every(self, period_ms, action):
        return self._timers.every(period_ms, lambda: self._call(action))

    def _call(self, action):
        if self._instance.is_up:
            action()


class FakeLayout:
    """Layout with the tiers that were announced or heard of."""

    cells = 1

    def __init__(self, tiers):
        self.tiers = set(tiers)
        self.add_tier = self.tiers.add

    @property
    def best_tier(self):
        return max(self.tiers)


class Instance:
    """Instance with real handover and standby, and fakes of its other components."""

    is_stopping = False
    takes_over_slowly = False

    def __init__(self, group, name, tier):
        self.name, self.tier = name, tier
        self.has_store = True
        self.disconnected_at_ms = None
        self.is_up = True
        self.announcements = 0
        self.has_unstored_records = False
        self.owners = {}
        self.timers = InstanceTimers(group.timers, self)
        self.metrics = FakeMetrics()
        self.updates = 0
        self.capacity = SimpleNamespace(tier=tier)
        self.owner_load = SimpleNamespace(load=OwnerLoad(link_mbps=0.0))
        self.peers = SimpleNamespace(
            member_statuses=MemberStatuses(),
            send_heartbeats=lambda: group.broadcast_heartbeat(self),
        )
        self.layout = FakeLayout(group.known)
        self.directory = SimpleNamespace(
            member_count=0, is_count_fresh=True, refresh=lambda: None
        )
        self.membership = FakeMembership(group, self)
        self.owned_cells = SimpleNamespace(update=self._update_cells)
        self.handover = Handover(daemon=self, tier=tier, address=name)
        self.standby = Standby(
            timers=self.timers,
            membership=self.membership,
            directory=self.directory,
            layout=self.layout,
            tier=tier,
            owner_tier=lambda: self.peers.member_statuses.owner_tier(),
            cooldown_until_ms=lambda: self.handover.cooldown_until_ms,
            is_stopping=lambda: self.is_stopping,
        )

    def follow(self, owner):
        if owner is not self or self.membership.left_at_ms is not None:
            self.owners.clear()
        elif not self.owners:
            self.owners[0] = SimpleNamespace(
                is_serving=not self.takes_over_slowly,
                is_store_unavailable=False,
                has_unstored_records=False,
                epoch=1,
                announce_ends=self._announce_ends,
                end=lambda reason: None,
            )

    def _update_cells(self):
        self.updates += 1

    def _announce_ends(self):
        self.announcements += 1

    @property
    def _is_serving(self):
        return any(owner.is_serving for owner in self.owners.values())

    def heartbeat(self):
        best_tier = self.handover.best_tier()
        return Heartbeat(
            owned=[OwnedCell(cell=0, epoch=1)] if self._is_serving else [],
            config_version=1,
            leaving=self.is_stopping,
            in_group=self.membership.in_group,
            store_lost=self.membership.store_lost,
            tier=int(self.tier),
            load_percent=self.owner_load.load.percent,
            best_tier=int(best_tier) if best_tier else None,
            join_ms=6,
        )


class SimulatedGroup:
    """Instances of several tiers that share one cell."""

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

    def broadcast_heartbeat(self, sender):
        for other in self.instances:
            if other is not sender and other.is_up and sender.is_up:
                other.peers.member_statuses.on_heartbeat(
                    sender.name, sender.heartbeat()
                )

    def stop(self, instances):
        for instance in instances:
            instance.is_up = False
            instance.membership._wants = False
            if instance in self.members:
                self.members.remove(instance)

    def restart(self, instances):
        for instance in instances:
            instance.is_up = True
            instance.standby.on_left()

    def disconnect_from_store(self, instances):
        """Let the store refuse some instances, so that their memberships lapse."""
        for instance in instances:
            instance.has_store = False
            instance.disconnected_at_ms = self.timers.now_ms

    def _lapse(self):
        for instance in list(self.members):
            disconnected_at_ms = (
                instance.disconnected_at_ms or instance.membership.left_at_ms
            )
            if (
                disconnected_at_ms is not None
                and self.timers.now_ms - disconnected_at_ms > TTL_MS
            ):
                self.members.remove(instance)

    def reconnect_to_store(self, instances):
        """Let the store answer the instances again."""
        for instance in instances:
            instance.has_store = True
            instance.disconnected_at_ms = None

    def run(self, for_ms):
        for _ in range(for_ms // STEP_MS):
            self.timers.run(STEP_MS)
            for instance in self.instances:
                instance.directory.member_count = len(self.members)
                instance.membership.join()
                instance.follow(self.owner)
            self._lapse()
            if self.timers.now_ms % HEARTBEAT_MS < STEP_MS:
                for instance in self.instances:
                    self.broadcast_heartbeat(instance)
            if not self.owners_seen or self.owners_seen[-1] is not self.owner:
                self.owners_seen.append(self.owner)
