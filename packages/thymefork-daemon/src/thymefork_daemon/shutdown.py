"""Graceful shutdown: release the cells, answer open requests, then exit."""

from loguru import logger

from thymefork_net import steady_ms

from .departure import MAX_STORE_WAIT_MS, RELEASE_POLL_MS, Departure

__all__ = ["Shutdown"]

# Exits this long before the process would be killed.
STOP_MARGIN_MS = 500.0
# Minimum time until exit, so that the load balancer, which asks every second and takes
# two misses, has removed the instance.
MIN_STOP_MS = 2_200.0
# Nobody can take over cells while the store is unavailable, so an owner keeps them
# until this long before it would be killed, which suffices to answer requests.
RELEASE_MARGIN_MS = 1_000.0


class Shutdown:
    """Stop an instance without dropping requests or run ends."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._departure = Departure(daemon=daemon)
        self._began_ms = 0.0
        self._store_unavailable_ms = 0.0
        self._has_left = False

    @property
    def has_begun(self):
        """Return whether this instance was asked to stop."""
        return self._began_ms > 0

    def begin(self):
        """Stop accepting connections and release the cells."""
        if self.has_begun:
            return
        self._began_ms = steady_ms()
        owns = sorted(self._daemon.owners)
        logger.bind(event="stopping", owns=owns).info("shutdown requested")
        self._daemon.frontend.server.drain()
        self._leave()

    def _leave(self):
        if self._should_keep_cells():
            self._daemon.timers.after(RELEASE_POLL_MS, self._leave)
            return
        self._has_left = True
        self._departure.leave("this instance stops", permanent=True)

    def _should_keep_cells(self):
        """Return whether the cells should be kept for now."""
        owners, now_ms = self._daemon.owners.values(), steady_ms()
        keep_ms = self._daemon.settings.stop_grace_ms - RELEASE_MARGIN_MS
        if not owners or now_ms - self._began_ms > max(MAX_STORE_WAIT_MS, keep_ms):
            return False
        if self._is_store_unavailable():
            self._store_unavailable_ms = now_ms
            return True
        store_by_ms = (
            max(self._began_ms, self._store_unavailable_ms) + MAX_STORE_WAIT_MS
        )
        return self._departure.has_unstored_records and now_ms < store_by_ms

    def _is_store_unavailable(self):
        if self._daemon.membership.store_lost:
            return True
        return not all(
            owner.is_store_responding for owner in self._daemon.owners.values()
        )

    def is_complete(self):
        """Return whether everything is answered or the time for it has passed."""
        if not self.has_begun:
            return False
        daemon, spent_ms = self._daemon, steady_ms() - self._began_ms
        open_count = (
            daemon.frontend.server.open_requests or daemon.gateway.open_requests
        )
        is_timed_out = spent_ms > daemon.settings.stop_grace_ms - STOP_MARGIN_MS
        is_done = self._has_left and not open_count
        if is_timed_out or (spent_ms > MIN_STOP_MS and is_done):
            logger.bind(event="stopped", open_requests=open_count).info(
                "shutdown complete"
            )
            return True
        return False
