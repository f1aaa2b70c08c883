"""When a small instance joins the group that the cells are dealt to."""

import random

from loguru import logger

from thymefork_net import steady_ms

__all__ = ["LARGE_CORES", "Standby"]

# Owning a cell of 176 workers takes up to 0.4 of a core; smaller instances carry
# callers and advice, and own cells only while there is no large one.
LARGE_CORES = 0.8
# After a loss of all instances the large ones are back within about three seconds.
LARGE_RETURN_MS = 4_000.0
# Where no instance is large, this many small ones take part: an owner, and two that can
# judge its silence. More of them would only change the deal more often.
SMALL_MEMBERS = 3
# All small instances learn at once that members are missing. Each waits for its share
# of this time, so that the first has joined, and is listed, before most have: the list
# of members is read each 0.2 s while an owner is missing.
SPREAD_MS = 1_200.0
# Missing members are waited for by seconds; a check wakes an idle instance.
CHECK_MS = 100.0


class Standby:
    """Have a small instance join in place of members that are missing."""

    def __init__(self, *, timers, membership, directory, layout):
        self._timers = timers
        self._membership = membership
        self._directory = directory
        self._layout = layout
        self._share_ms = random.uniform(0.0, SPREAD_MS)
        self._missing_since_ms = None
        self._has_joined = False

    def start(self):
        """Look for missing members from now on."""
        self._timers.every(CHECK_MS, self._check)

    def _check(self):
        if self._has_joined or not self._layout.cells:
            return
        if not self._members_are_missing():
            self._missing_since_ms = None
            return
        now_ms = steady_ms()
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        if now_ms - self._missing_since_ms > self._wait_ms():
            self._step_in()
        else:
            self._directory.refresh()  # another small instance may have stepped in

    def _members_are_missing(self):
        count = self._directory.member_count
        if count is None:
            return False
        return count < (1 if self._layout.has_large else SMALL_MEMBERS)

    def _wait_ms(self):
        if self._layout.has_large:
            return LARGE_RETURN_MS + self._share_ms
        return self._share_ms

    def _step_in(self):
        line = logger.bind(
            event="standby_joins",
            members=self._directory.member_count,
            has_large=self._layout.has_large,
        )
        line.info("too few instances take part in owning the cells")
        self._has_joined = True
        self._membership.start()
