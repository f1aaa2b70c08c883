"""Group member statuses, as reported in peers' heartbeats."""

from statistics import median

from thymefork_net import steady_ms

from .capacity import MemberStatus, Tier

__all__ = ["MemberStatuses"]


class MemberStatuses:
    """Keep the status that each peer last reported, by its address."""

    def __init__(self):
        self._statuses = {}

    @property
    def statuses(self):
        """Return the last status of each peer that has a link to this instance."""
        return list(self._statuses.values())

    def on_heartbeat(self, address, message):
        """Record a peer's status; older versions report no tier."""
        if address is None:
            return  # no Hello received on this link yet
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
            healthy_since_ms=_healthy_since(before, now_ms) if can_own else None,
        )

    def forget(self, address):
        """Remove a peer whose link broke."""
        self._statuses.pop(address, None)

    def join_ms(self):
        """Return the median duration of members' joins, None if unknown.

        Joins that are slower here than that point to a problem of this instance.
        """
        now_ms = steady_ms()
        durations_ms = [
            status.join_ms
            for status in self.statuses
            if status.join_ms and status.is_fresh(now_ms)
        ]
        return median(durations_ms) if durations_ms else None

    def owner_tier(self):
        """Return the best tier among recently heard owners, None if unknown."""
        now_ms = steady_ms()
        tiers = [
            status.tier
            for status in self.statuses
            if status.owns and status.is_fresh(now_ms)
        ]
        return max(tiers) if tiers and None not in tiers else None


def _healthy_since(before, now_ms):
    if before is None or before.healthy_since_ms is None or not before.is_fresh(now_ms):
        return now_ms
    return before.healthy_since_ms
