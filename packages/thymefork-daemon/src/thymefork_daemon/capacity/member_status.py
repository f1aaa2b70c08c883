"""The status that a peer last reported in its heartbeat."""

from attrs import define

from .tier import Tier

__all__ = ["MemberStatus"]

# Slightly more than two heartbeat intervals.
FRESH_MS = 650.0


@define(kw_only=True)
class MemberStatus:
    """Hold the part of a peer's last heartbeat that decides who should own cells.

    `owned` are the cells that the peer serves; `join_ms` is the duration of its last
    join, or 0 if it is not in the group; `best_tier` is the best tier that it knows
    among healthy members; `healthy_since_ms` is since when every heartbeat has reported
    that it can own cells, or None.
    """

    address: str
    tier: Tier | None
    best_tier: Tier | None
    load_percent: int
    in_group: bool
    can_own: bool
    owned: frozenset[int]
    join_ms: float
    received_ms: float
    healthy_since_ms: float | None

    @property
    def owns(self):
        """Return whether the peer serves any cell."""
        return bool(self.owned)

    def is_fresh(self, now_ms):
        """Return whether the status is recent enough to rely on."""
        return now_ms - self.received_ms < FRESH_MS

    def is_healthy_for(self, duration_ms, now_ms):
        """Return whether the peer has been able to own cells for this long."""
        if self.healthy_since_ms is None or not self.is_fresh(now_ms):
            return False
        return now_ms - self.healthy_since_ms >= duration_ms
