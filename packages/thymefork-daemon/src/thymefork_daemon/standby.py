"""Decision of when an instance joins the group that owns the cells."""

import random

from loguru import logger

from thymefork_net import steady_ms

from .capacity import Tier

__all__ = ["Standby"]

# Time for instances of the best tier to return after all instances were lost.
BETTER_TIER_RETURN_MS = 4_000.0
# Extra time for each tier in between to join and to be listed.
NEXT_TIER_MS = 1_500.0
# Members where no instance is above the least tier: an owner, and two that can detect
# its silence. More would only change the assignment more often.
MIN_MEMBERS = 3
# All instances on standby notice missing members at once. Each waits for a random part
# of this time, so that the first has joined and is listed before most others act.
JOIN_JITTER_MS = 1_200.0
# Coarse on purpose: each check wakes an idle instance.
CHECK_MS = 100.0


class Standby:
    """Join at once, or in place of better members that are missing.

    `owner_tier()` is the best tier among the owners that are heard, None if unknown.
    `cooldown_until_ms()` is until when an instance that handed over stays out of the
    group. An instance that is stopping does not join.
    """

    def __init__(
        self,
        *,
        timers,
        membership,
        directory,
        layout,
        tier=Tier.LEAST,
        owner_tier=lambda: None,
        cooldown_until_ms=lambda: 0.0,
        is_stopping=lambda: False,
    ):
        self._timers = timers
        self._membership = membership
        self._directory = directory
        self._layout = layout
        self._tier = tier
        self._owner_tier = owner_tier
        self._cooldown_until_ms = cooldown_until_ms
        self._is_stopping = is_stopping
        self._jitter_ms = random.uniform(0.0, JOIN_JITTER_MS)
        self._missing_since_ms = None
        self._has_joined = False

    def start(self):
        """Join if no tier is better; otherwise watch for missing members."""
        if self._tier is Tier.FULL:
            self._has_joined = True
            self._membership.start()
        self._timers.every(CHECK_MS, self.check)

    def on_left(self):
        """Return to standby after the cells were handed over."""
        self._has_joined = False
        self._missing_since_ms = None

    def check(self):
        """Join if the conditions for it are met."""
        if self._is_stopping() or self._has_joined or not self._layout.cells:
            return
        if self._has_best_tier() and steady_ms() >= self._cooldown_until_ms():
            self._join("joining the group: no instance has a better tier")
            return
        if self._is_cooling_down():
            return
        if not self._members_are_missing():
            self._missing_since_ms = None
            return
        now_ms = steady_ms()
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        has_waited = now_ms - self._missing_since_ms > self._wait_ms()
        if has_waited and self._directory.is_count_fresh:
            self._join(
                "joining the group: members are missing or the owner has a lower tier"
            )
        else:
            self._directory.refresh()  # another instance may have joined

    def _is_cooling_down(self):
        """Return whether this instance handed over recently and other members exist."""
        return bool(self._directory.member_count) and (
            steady_ms() < self._cooldown_until_ms()
        )

    def _has_best_tier(self):
        """Return whether no instance has a better tier; false for the lowest tier."""
        return self._tier > Tier.LEAST and self._tier >= self._layout.best_tier

    def _members_are_missing(self):
        count = self._directory.member_count
        if count is None:
            return False
        if count < (1 if self._layout.best_tier > Tier.LEAST else MIN_MEMBERS):
            return True
        owner_tier = self._owner_tier()
        return owner_tier is not None and owner_tier < self._tier

    def _wait_ms(self):
        better_tiers = sum(tier > self._tier for tier in self._layout.tiers)
        if not better_tiers:
            return self._jitter_ms
        between_ms = (better_tiers - 1) * NEXT_TIER_MS
        return BETTER_TIER_RETURN_MS + between_ms + self._jitter_ms

    def _join(self, reason):
        line = logger.bind(
            event="standby_joins",
            members=self._directory.member_count,
            tier=self._tier.name,
            best_tier=self._layout.best_tier.name,
        )
        line.info("{}", reason)
        self._has_joined = True
        self._missing_since_ms = None
        self._membership.start()
