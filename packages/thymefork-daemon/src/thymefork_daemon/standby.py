"""When an instance joins the group that the cells are dealt to."""

import random

from loguru import logger

from thymefork_net import steady_ms

from .capacity import Tier

__all__ = ["Standby"]

# After a loss of all instances those of the best tier are back within about three
# seconds.
BETTER_TIER_RETURN_MS = 4_000.0
# Each tier between leaves the one above it the time to join and to be listed.
NEXT_TIER_MS = 1_500.0
# Where none is better than the least, this many take part: an owner, and two that can
# judge its silence. More of them would only change the deal more often.
LEAST_MEMBERS = 3
# All that stand by learn at once that members are missing. Each waits for its share
# of this time, so that the first has joined, and is listed, before most have: the list
# of members is read each 0.2 s while an owner is missing.
JOIN_JITTER_MS = 1_200.0
# Missing members are waited for by seconds; a check wakes an idle instance.
CHECK_MS = 100.0


class Standby:
    """Join at once, or in place of better members once those are missing.

    `owner_tier()` is the best tier among the owners that are heard, None if unknown;
    `cooldown_until_ms()` is until when an instance that handed over stays out. One that is
    stopping joins no more.
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
        self._rest_until_ms = cooldown_until_ms
        self._is_stopping = is_stopping
        self._share_ms = random.uniform(0.0, JOIN_JITTER_MS)
        self._missing_since_ms = None
        self._has_joined = False

    def start(self):
        """Join if no tier is better; else look for missing members from now on."""
        if self._tier is Tier.FULL:
            self._has_joined = True
            self._membership.start()
        self._timers.every(CHECK_MS, self.check)

    def on_left(self):
        """Stand by again, since the cells were handed over."""
        self._has_joined = False
        self._missing_since_ms = None

    def check(self):
        """Join if it is time to."""
        if self._is_stopping() or self._has_joined or not self._layout.cells:
            return
        if self._takes_part() and steady_ms() >= self._rest_until_ms():
            self._step_in("none is better")
            return
        if self._rests():
            return
        if not self._members_are_missing():
            self._missing_since_ms = None
            return
        now_ms = steady_ms()
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        is_over = now_ms - self._missing_since_ms > self._wait_ms()
        if is_over and self._directory.is_count_fresh:
            self._step_in("too few instances take part in owning the cells")
        else:
            self._directory.refresh()  # another one may have stepped in

    def _rests(self):
        """Tell whether this instance handed over a moment ago and others go on."""
        return bool(self._directory.member_count) and (
            steady_ms() < self._rest_until_ms()
        )

    def _takes_part(self):
        """Tell whether this instance is a member as long as all is well."""
        return self._tier > Tier.LEAST and self._tier >= self._layout.best_tier

    def _members_are_missing(self):
        count = self._directory.member_count
        if count is None:
            return False
        if count < (1 if self._layout.best_tier > Tier.LEAST else LEAST_MEMBERS):
            return True
        owner_tier = self._owner_tier()
        return owner_tier is not None and owner_tier < self._tier

    def _wait_ms(self):
        better = sum(tier > self._tier for tier in self._layout.tiers)
        if not better:
            return self._share_ms
        between_ms = (better - 1) * NEXT_TIER_MS
        return BETTER_TIER_RETURN_MS + between_ms + self._share_ms

    def _step_in(self, reason):
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
