"""What an instance last said of itself as a member of the group."""

from attrs import define

from .tier import Tier

__all__ = ["MemberStatus"]

# Two heartbeats and some; what was said before may not hold any more.
FRESH_MS = 650.0


@define(kw_only=True)
class MemberStatus:
    """Hold a peer's last heartbeat as far as it bears on who should own cells.

    `owned` are the cells that it serves; `join_ms` is how long its last join took, 0 if
    it takes no part; `best_tier` is the best tier that it knows among members that are
    well; `healthy_since_ms` is since when each heartbeat has said that it can own, else
    None.
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
        """Tell whether it serves a cell."""
        return bool(self.owned)

    def is_fresh(self, now_ms):
        """Tell whether it was said a moment ago."""
        return now_ms - self.received_ms < FRESH_MS

    def is_healthy_for(self, duration_ms, now_ms):
        """Tell whether the peer has been able to own for a while, and is now."""
        if self.healthy_since_ms is None or not self.is_fresh(now_ms):
            return False
        return now_ms - self.healthy_since_ms >= duration_ms
