"""The way out: give the cells back, answer what is open, then end."""

from loguru import logger

from thymefork_net import steady_ms

from .departure import LEAVE_RETRY_MS, MAX_STORE_WAIT_MS, Departure

__all__ = ["Shutdown"]

# A stopping process ends this long before it would be killed.
STOP_MARGIN_MS = 500.0
# A stopping process stays at least this long, so that the balancer, which asks every
# second and takes two misses, has noticed.
STOP_AT_LEAST_MS = 2_200.0
# While the store is away nobody can take the cells, so an owner keeps them, renews what
# runs and stores what it heard once the store is back. It gives up this long before it
# would be killed: time for its last words, and for the answers that are still open.
GIVE_UP_BEFORE_MS = 1_000.0


class Shutdown:
    """Stop an instance without cutting anything off."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._departure = Departure(daemon=daemon)
        self._began_ms = 0.0
        self._store_away_ms = 0.0
        self._has_left = False

    @property
    def has_begun(self):
        """Tell whether this instance was asked to stop."""
        return self._began_ms > 0

    def begin(self):
        """Take no new connections and give the cells back."""
        if self.has_begun:
            return
        self._began_ms = steady_ms()
        owns = sorted(self._daemon.owners)
        logger.bind(event="stopping", owns=owns).info("asked to stop")
        self._daemon.front.server.drain()
        self._leave()

    def _leave(self):
        if self._has_to_stay():
            self._daemon.timers.after(LEAVE_RETRY_MS, self._leave)
            return
        self._has_left = True
        self._departure.leave("this instance stops", permanent=True)

    def _has_to_stay(self):
        """Tell whether the cells are better kept for now."""
        owners, now_ms = self._daemon.owners.values(), steady_ms()
        give_up_ms = self._daemon.settings.stop_grace_ms - GIVE_UP_BEFORE_MS
        if not owners or now_ms - self._began_ms > max(MAX_STORE_WAIT_MS, give_up_ms):
            return False
        if self._store_is_away():
            self._store_away_ms = now_ms
            return True
        store_by_ms = max(self._began_ms, self._store_away_ms) + MAX_STORE_WAIT_MS
        return self._departure.has_unstored_records and now_ms < store_by_ms

    def _store_is_away(self):
        if self._daemon.membership.store_lost:
            return True
        return not all(
            owner.is_store_responding for owner in self._daemon.owners.values()
        )

    def is_complete(self):
        """Tell whether everything is answered, or the time for it has passed."""
        if not self.has_begun:
            return False
        daemon, spent_ms = self._daemon, steady_ms() - self._began_ms
        busy = daemon.front.server.open_requests or daemon.gateway.open_requests
        over = spent_ms > daemon.settings.stop_grace_ms - STOP_MARGIN_MS
        is_done = self._has_left and not busy
        if over or (spent_ms > STOP_AT_LEAST_MS and is_done):
            logger.bind(event="stopped", open_requests=busy).info("stopped")
            return True
        return False
