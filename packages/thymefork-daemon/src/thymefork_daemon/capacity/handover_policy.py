"""Rules for handing an instance's cells over to a more suitable member."""

from .owner_load import OVERLOAD_ENTER
from .tier import Tier

__all__ = ["HandoverPolicy"]

# A rejoining member needs this long to join, open its links and reach the store.
MIN_HEALTHY_MS = 1_000.0
# An owner lets members of its tier or below leave first, for at most this long:
# otherwise they would be assigned its cells.
PEER_LEAVE_TIMEOUT_MS = 2_000.0
# Ignores short bursts.
MIN_OVERLOAD_MS = 1_500.0
# Ignores the load of the takeover itself.
MIN_OWNERSHIP_MS = 5_000.0
# Highest load of a member that may relieve an owner, relative to that owner's load.
MAX_TARGET_LOAD_RATIO = 0.5
# Delay between two handovers by this instance; doubles with each one.
MIN_BACKOFF_MS = 5_000.0
MAX_BACKOFF_MS = 60_000.0
# The backoff starts over if the last handover is longer ago than this.
BACKOFF_RESET_MS = 120_000.0
# A cell that overloaded an owner this recently would overload an equal one, too.
OVERLOADED_CELL_MS = 120_000.0


class HandoverPolicy:
    """Decide when this instance leaves the group, with exponential backoff.

    Each handover interrupts callers for the duration of a takeover, so leaving has to
    pay off: an unsuitable owner costs for as long as it owns, but a member that joins
    and leaves repeatedly costs a takeover each time.
    """

    def __init__(self, *, tier, address):
        self._tier = tier
        self._address = address
        self._backoff_ms = 0.0
        self._last_left_ms = float("-inf")
        self._healthy_since_ms = None
        self._better_tier_since_ms = None
        self._overloaded_since_ms = None
        self._owns_since_ms = None
        self._overloaded_owner_ms = {}  # by cell, when another owner last had too much

    @property
    def cooldown_until_ms(self):
        """Return until when an instance that handed over stays out of the group."""
        return self._last_left_ms + self._backoff_ms

    def on_left(self, now_ms):
        """Record a handover and extend the backoff."""
        if now_ms - self._last_left_ms > BACKOFF_RESET_MS:
            self._backoff_ms = 0.0
        self._backoff_ms = min(
            MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2 * self._backoff_ms)
        )
        self._last_left_ms = now_ms
        self._healthy_since_ms = self._better_tier_since_ms = None
        self._overloaded_since_ms = self._owns_since_ms = None

    def observe(self, now_ms, statuses):
        """Remember the cells that overload their owners on other instances."""
        for status in statuses:
            if status.is_fresh(now_ms) and status.load_percent >= 100 * OVERLOAD_ENTER:
                for cell in status.owned:
                    self._overloaded_owner_ms[cell] = now_ms

    def reason(self, now_ms, *, local, statuses):
        """Return why this member should leave the group now, or None."""
        self._track_state(now_ms, local)
        better = self._is_better_tier_available(now_ms, statuses, owns=local.owns)
        self._better_tier_since_ms = _since(self._better_tier_since_ms, better, now_ms)
        if (
            self._healthy_since_ms is None
            or now_ms - self._healthy_since_ms < MIN_HEALTHY_MS
        ):
            return None
        if better and self._may_leave_for_better_tier(
            now_ms, statuses, owns=local.owns
        ):
            return "better_tier"
        is_overloaded = local.serves and self._is_persistently_overloaded(now_ms)
        if is_overloaded and self._is_less_loaded_member_available(
            now_ms, local, statuses
        ):
            return "overload"
        return None

    def is_still_valid(self, reason, now_ms, *, local, statuses):
        """Return whether a handover that has begun for this reason should go on."""
        if not local.may_hand_over:
            return False
        if reason == "better_tier":
            return self._is_better_tier_available(now_ms, statuses, owns=local.owns)
        is_overloaded = local.owns and local.serves and local.load.is_overloaded
        return is_overloaded and self._is_less_loaded_member_available(
            now_ms, local, statuses
        )

    def best_tier(self, now_ms, statuses):
        """Return the best tier of all healthy members, or None if none is known."""
        tiers = [
            status.tier
            for status in statuses
            if status.tier is not None and status.is_healthy_for(MIN_HEALTHY_MS, now_ms)
        ]
        return max(tiers, default=None)

    def _track_state(self, now_ms, local):
        self._healthy_since_ms = _since(
            self._healthy_since_ms, local.may_hand_over, now_ms
        )
        self._owns_since_ms = _since(self._owns_since_ms, local.owns, now_ms)
        overloaded = local.owns and local.load.is_overloaded
        self._overloaded_since_ms = _since(
            self._overloaded_since_ms, overloaded, now_ms
        )

    def _is_better_tier_available(self, now_ms, statuses, *, owns):
        """Return whether a healthy member has a better tier.

        An instance that owns nothing also relies on what owners report of other
        members.
        """
        best = self.best_tier(now_ms, statuses)
        if best is not None and best > self._tier:
            return True
        if owns or self._tier == Tier.FULL:
            return False
        return any(
            status.owns
            and status.is_fresh(now_ms)
            and status.best_tier is not None
            and status.best_tier > self._tier
            for status in statuses
        )

    def _may_leave_for_better_tier(self, now_ms, statuses, *, owns):
        if not owns:
            return True
        if now_ms - self._better_tier_since_ms < self._current_backoff_ms(now_ms):
            return False
        others = any(
            status.in_group
            and status.tier is not None
            and status.tier <= self._tier
            and status.is_fresh(now_ms)
            for status in statuses
        )
        return not others or now_ms - self._better_tier_since_ms > PEER_LEAVE_TIMEOUT_MS

    def _current_backoff_ms(self, now_ms):
        """Return how long a better member has to be available before a handover."""
        return (
            0.0 if now_ms - self._last_left_ms > BACKOFF_RESET_MS else self._backoff_ms
        )

    def _is_persistently_overloaded(self, now_ms):
        if self._overloaded_since_ms is None or now_ms < self.cooldown_until_ms:
            return False
        if now_ms - self._owns_since_ms < MIN_OWNERSHIP_MS:
            return False
        return now_ms - self._overloaded_since_ms >= MIN_OVERLOAD_MS

    def _is_less_loaded_member_available(self, now_ms, local, statuses):
        """Return whether a member that owns no cell could take over from this owner.

        Overloaded owners leave one at a time: the group spreads cells evenly, so the
        cells of two that leave at once could all go to the same member.
        """
        fresh = [status for status in statuses if status.is_fresh(now_ms)]
        if not _are_all_cells_served(local, fresh) or not self._is_most_loaded(
            local.load, fresh
        ):
            return False
        is_overloaded_anywhere = self._has_overloaded_another(local, now_ms)
        return any(
            status.tier is not None
            and status.tier >= self._tier
            and not (is_overloaded_anywhere and status.tier == self._tier)
            and not status.owns
            and status.load_percent <= local.load.percent * MAX_TARGET_LOAD_RATIO
            and status.is_healthy_for(MIN_HEALTHY_MS, now_ms)
            for status in fresh
        )

    def _has_overloaded_another(self, local, now_ms):
        """Return whether a cell owned here has lately overloaded another instance.

        The load is then that of the cell: another takeover would only interrupt its
        callers again.
        """
        oldest_ms = now_ms - OVERLOADED_CELL_MS
        return any(
            self._overloaded_owner_ms.get(cell, float("-inf")) > oldest_ms
            for cell in local.owned
        )

    def _is_most_loaded(self, load, fresh):
        """Return whether no other owner has more load; ties go to the lower address."""
        local = (-load.percent, self._address)
        return all(
            local < (-status.load_percent, status.address)
            for status in fresh
            if status.owns
        )


def _are_all_cells_served(local, fresh):
    """Return whether each cell has an owner that reports it."""
    served = local.owned.union(*(status.owned for status in fresh))
    return served.issuperset(range(local.cells))


def _since(since_ms, holds, now_ms):
    """Return since when a condition holds, or None if it does not."""
    if not holds:
        return None
    return now_ms if since_ms is None else since_ms
