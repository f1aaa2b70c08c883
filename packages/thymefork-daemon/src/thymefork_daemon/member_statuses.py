"""What the instances that are heard say of themselves as members of the group."""

from statistics import median

from thymefork_net import steady_ms

from .capacity import MemberStatus, Tier

__all__ = ["MemberStatuses"]


class MemberStatuses:
    """Keep each peer's last heartbeat, by its address."""

    def __init__(self):
        self._statuses = {}

    @property
    def statuses(self):
        """Return the last heartbeat of each peer that has a link to this instance."""
        return list(self._statuses.values())

    def on_heartbeat(self, address, message):
        """Take a peer's heartbeat; one from before there were tiers tells none."""
        if address is None:
            return  # a link whose Hello has not come
        now_ms = steady_ms()
        in_group = bool(message.in_group)
        can_own = in_group and not message.store_lost and not message.leaving
        before = self._statuses.get(address)
        self._statuses[address] = MemberStatus(
            address=str(address),
            tier=Tier.from_number(message.tier),
            best_tier=Tier.from_number(message.best_tier),
            load_percent=message.load_percent or 0,
            in_group=in_group,
            can_own=can_own,
            owned=frozenset(owned.cell for owned in message.owned),
            join_ms=float(message.join_ms or 0) if can_own else 0.0,
            received_ms=now_ms,
            healthy_since_ms=_well_since(before, now_ms) if can_own else None,
        )

    def forget(self, address):
        """Drop a peer whose link broke."""
        self._statuses.pop(address, None)

    def join_ms(self):
        """Return how long members' joins take in the middle, None if unknown.

        What takes longer here than for the others is this instance's own doing.
        """
        now_ms = steady_ms()
        spans = [
            status.join_ms
            for status in self.statuses
            if status.join_ms and status.is_fresh(now_ms)
        ]
        return median(spans) if spans else None

    def owner_tier(self):
        """Return the best tier among owners that were heard lately, None if unknown."""
        now_ms = steady_ms()
        tiers = [
            status.tier
            for status in self.statuses
            if status.owns and status.is_fresh(now_ms)
        ]
        return max(tiers) if tiers and None not in tiers else None


def _well_since(before, now_ms):
    if before is None or before.healthy_since_ms is None or not before.is_fresh(now_ms):
        return now_ms
    return before.healthy_since_ms
