"""When an instance gives its cells to a member that is better placed."""

from .tier import Tier

__all__ = ["HandoverPolicy"]

# A member that comes back has joined, has links and knows the store by then.
MIN_HEALTHY_MS = 1_000.0
# Others of a lower tier would be dealt the cell; they leave first, or have this long.
PEER_LEAVE_TIMEOUT_MS = 2_000.0
# An owner is overloaded for good, not by one burst, after this long.
MIN_OVERLOAD_MS = 1_500.0
# A takeover is a load of its own, which is over by then.
MIN_OWNERSHIP_MS = 5_000.0
# A member that takes a cell from an overloaded one has at least this much less to do.
MAX_RELIEF_LOAD_RATIO = 0.5
# After a handover the next one by this instance is this far off, then twice as far.
MIN_BACKOFF_MS = 5_000.0
MAX_BACKOFF_MS = 60_000.0
# An instance that had no cause for so long begins anew with the shortest pause.
BACKOFF_RESET_MS = 120_000.0


class HandoverPolicy:
    """Decide on leaving the group; `pause_ms` grows with each time in a row.

    One takeover costs callers some tenths of a second; a bad owner costs as long as it
    is owner, and one that comes and goes costs a takeover each time.
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

    @property
    def cooldown_until_ms(self):
        """Return until when an instance that handed over better stays out."""
        return self._last_left_ms + self._backoff_ms

    def on_left(self, now_ms):
        """Take note that the cells were handed over."""
        if now_ms - self._last_left_ms > BACKOFF_RESET_MS:
            self._backoff_ms = 0.0
        self._backoff_ms = min(
            MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2 * self._backoff_ms)
        )
        self._last_left_ms = now_ms
        self._healthy_since_ms = self._better_tier_since_ms = None
        self._overloaded_since_ms = self._owns_since_ms = None

    def reason(self, now_ms, *, local, statuses):
        """Return why to leave the group now, or None; called often by a member."""
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
        if is_overloaded and self._is_relief_available(now_ms, local, statuses):
            return "overload"
        return None

    def is_still_valid(self, reason, now_ms, *, local, statuses):
        """Tell whether the cells are still better given away for this reason."""
        if not local.may_hand_over:
            return False
        if reason == "better_tier":
            return self._is_better_tier_available(now_ms, statuses, owns=local.owns)
        is_overloaded = local.owns and local.serves and local.load.is_overloaded
        return is_overloaded and self._is_relief_available(now_ms, local, statuses)

    def best_tier(self, now_ms, statuses):
        """Return the best tier among members that are well, as far as was heard."""
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
        """Tell whether a better member can own, by its own heartbeat or an owner's."""
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
        """Return for how long better members have to stay before the next handover."""
        return (
            0.0 if now_ms - self._last_left_ms > BACKOFF_RESET_MS else self._backoff_ms
        )

    def _is_persistently_overloaded(self, now_ms):
        if self._overloaded_since_ms is None or now_ms < self.cooldown_until_ms:
            return False
        if now_ms - self._owns_since_ms < MIN_OWNERSHIP_MS:
            return False
        return now_ms - self._overloaded_since_ms >= MIN_OVERLOAD_MS

    def _is_relief_available(self, now_ms, local, statuses):
        """Tell whether a member without a cell could take one, and it is our turn.

        Owners that are overloaded at once leave one after the other: the store deals
        evenly, so two that leave for one member would burden it with both cells.
        """
        fresh = [status for status in statuses if status.is_fresh(now_ms)]
        if not _are_all_cells_served(local, fresh) or not self._is_most_loaded(
            local.load, fresh
        ):
            return False
        return any(
            status.tier is not None
            and status.tier >= self._tier
            and not status.owns
            and status.load_percent <= local.load.percent * MAX_RELIEF_LOAD_RATIO
            and status.is_healthy_for(MIN_HEALTHY_MS, now_ms)
            for status in fresh
        )

    def _is_most_loaded(self, load, fresh):
        """Tell whether no other owner has more to do; one of two equals is first."""
        local = (-load.percent, self._address)
        return all(
            local < (-status.load_percent, status.address)
            for status in fresh
            if status.owns
        )


def _are_all_cells_served(local, fresh):
    """Tell whether no cell is on its way to a member that does not say so yet."""
    served = local.owned.union(*(status.owned for status in fresh))
    return served.issuperset(range(local.cells))


def _since(since_ms, holds, now_ms):
    """Return since when something holds, None if it does not."""
    if not holds:
        return None
    return now_ms if since_ms is None else since_ms
