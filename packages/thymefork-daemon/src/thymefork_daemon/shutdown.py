"""The way out: give the cells back, answer what is open, then end."""

from loguru import logger

from thymefork_net import steady_ms

__all__ = ["Shutdown"]

# A stopping process ends this long before it would be killed.
STOP_MARGIN_MS = 500.0
# A stopping process stays at least this long, so that the balancer, which asks every
# second and takes two misses, has noticed.
STOP_AT_LEAST_MS = 2_200.0
# While an append is under way, the cells are given back this often tried again.
LEAVE_AGAIN_MS = 5.0


class Shutdown:
    """Stop an instance without cutting anything off."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._began_ms = 0.0

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
        if any(owner.has_pending_append for owner in self._daemon.owners.values()):
            if steady_ms() - self._began_ms < STOP_MARGIN_MS:
                self._daemon.timers.after(LEAVE_AGAIN_MS, self._leave)
                return
        for owner in self._daemon.owners.values():
            owner.end("this instance stops")
        self._daemon.owners.clear()
        self._daemon.membership.leave(self._on_left)

    def _on_left(self, answer):
        self._daemon.peers.send_heartbeats()
        self._daemon.directory.refresh()

    def is_over(self):
        """Tell whether everything is answered, or the time for it has passed."""
        if not self.has_begun:
            return False
        daemon, spent_ms = self._daemon, steady_ms() - self._began_ms
        busy = daemon.front.server.open_requests or daemon.gateway.open_requests
        over = spent_ms > daemon.settings.stop_grace_ms - STOP_MARGIN_MS
        if over or (spent_ms > STOP_AT_LEAST_MS and not busy):
            logger.bind(event="stopped", open_requests=busy).info("stopped")
            return True
        return False
