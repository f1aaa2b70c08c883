"""When an instance gives its cells to a member that is better placed."""

from .tier import Tier

__all__ = ["HandoverRule"]

# A member that comes back has joined, has links and knows the store by then.
SETTLED_MS = 1_000.0
# Others of a lower tier would be dealt the cell; they leave first, or have this long.
OTHERS_LEAVE_MS = 2_000.0
# An owner is overloaded for good, not by one burst, after this long.
OVERLOADED_MS = 1_500.0
# A takeover is a load of its own, which is over by then.
LEAST_HELD_MS = 5_000.0
# A member that takes a cell from an overloaded one has at least this much less to do.
LESS_LOAD = 0.5
# After a handover the next one by this instance is this far off, then twice as far.
FIRST_PAUSE_MS = 5_000.0
MOST_PAUSE_MS = 60_000.0
# An instance that had no cause for so long begins anew with the shortest pause.
FORGET_MS = 120_000.0


class HandoverRule:
    """Decide on leaving the group; `pause_ms` grows with each time in a row.

    One takeover costs callers some tenths of a second; a bad owner costs as long as it
    is owner, and one that comes and goes costs a takeover each time.
    """

    def __init__(self, *, tier, address):
        self._tier = tier
        self._address = address
        self._pause_ms = 0.0
        self._left_ms = float("-inf")
        self._well_since_ms = None
        self._better_since_ms = None
        self._overloaded_since_ms = None
        self._owns_since_ms = None

    @property
    def rest_until_ms(self):
        """Return until when an instance that handed over better stays out."""
        return self._left_ms + self._pause_ms

    def on_left(self, now_ms):
        """Take note that the cells were handed over."""
        if now_ms - self._left_ms > FORGET_MS:
            self._pause_ms = 0.0
        self._pause_ms = min(MOST_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * self._pause_ms))
        self._left_ms = now_ms
        self._well_since_ms = self._better_since_ms = None
        self._overloaded_since_ms = self._owns_since_ms = None

    def reason(self, now_ms, *, own, statuses):
        """Return why to leave the group now, or None; called often by a member."""
        self._follow(now_ms, own)
        better = self._better_is_well(now_ms, statuses, owns=own.owns)
        self._better_since_ms = _since(self._better_since_ms, better, now_ms)
        if self._well_since_ms is None or now_ms - self._well_since_ms < SETTLED_MS:
            return None
        if better and self._may_step_back(now_ms, statuses, owns=own.owns):
            return "better_tier"
        is_overloaded = own.serves and self._is_overloaded(now_ms)
        if is_overloaded and self._has_relief(now_ms, own, statuses):
            return "overload"
        return None

    def still_holds(self, reason, now_ms, *, own, statuses):
        """Tell whether the cells are still better given away for this reason."""
        if not own.may_hand_over:
            return False
        if reason == "better_tier":
            return self._better_is_well(now_ms, statuses, owns=own.owns)
        is_overloaded = own.owns and own.serves and own.load.is_overloaded
        return is_overloaded and self._has_relief(now_ms, own, statuses)

    def best_tier(self, now_ms, statuses):
        """Return the best tier among members that are well, as far as was heard."""
        tiers = [
            status.tier
            for status in statuses
            if status.tier is not None and status.is_well_for(SETTLED_MS, now_ms)
        ]
        return max(tiers, default=None)

    def _follow(self, now_ms, own):
        self._well_since_ms = _since(self._well_since_ms, own.may_hand_over, now_ms)
        self._owns_since_ms = _since(self._owns_since_ms, own.owns, now_ms)
        overloaded = own.owns and own.load.is_overloaded
        self._overloaded_since_ms = _since(
            self._overloaded_since_ms, overloaded, now_ms
        )

    def _better_is_well(self, now_ms, statuses, *, owns):
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

    def _may_step_back(self, now_ms, statuses, *, owns):
        if not owns:
            return True
        if now_ms - self._better_since_ms < self._pause_ms_left(now_ms):
            return False
        others = any(
            status.in_group
            and status.tier is not None
            and status.tier <= self._tier
            and status.is_fresh(now_ms)
            for status in statuses
        )
        return not others or now_ms - self._better_since_ms > OTHERS_LEAVE_MS

    def _pause_ms_left(self, now_ms):
        """Return for how long better members have to stay before the next handover."""
        return 0.0 if now_ms - self._left_ms > FORGET_MS else self._pause_ms

    def _is_overloaded(self, now_ms):
        if self._overloaded_since_ms is None or now_ms < self.rest_until_ms:
            return False
        if now_ms - self._owns_since_ms < LEAST_HELD_MS:
            return False
        return now_ms - self._overloaded_since_ms >= OVERLOADED_MS

    def _has_relief(self, now_ms, own, statuses):
        """Tell whether a member without a cell could take one, and it is our turn.

        Owners that are overloaded at once leave one after the other: the store deals
        evenly, so two that leave for one member would burden it with both cells.
        """
        fresh = [status for status in statuses if status.is_fresh(now_ms)]
        if not _all_are_served(own, fresh) or not self._is_first(own.load, fresh):
            return False
        return any(
            status.tier is not None
            and status.tier >= self._tier
            and not status.owns
            and status.load_percent <= own.load.percent * LESS_LOAD
            and status.is_well_for(SETTLED_MS, now_ms)
            for status in fresh
        )

    def _is_first(self, load, fresh):
        """Tell whether no other owner has more to do; one of two equals is first."""
        own = (-load.percent, self._address)
        return all(
            own < (-status.load_percent, status.address)
            for status in fresh
            if status.owns
        )


def _all_are_served(own, fresh):
    """Tell whether no cell is on its way to a member that does not say so yet."""
    served = own.owned.union(*(status.owned for status in fresh))
    return served.issuperset(range(own.cells))


def _since(since_ms, holds, now_ms):
    """Return since when something holds, None if it does not."""
    if not holds:
        return None
    return now_ms if since_ms is None else since_ms
