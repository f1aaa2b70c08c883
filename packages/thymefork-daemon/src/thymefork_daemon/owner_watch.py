"""Early replacement of owners that fell silent or lost the store."""

from loguru import logger

from thymefork_net import steady_ms

__all__ = ["OWNER_HEARTBEAT_MS", "OwnerWatch"]

# Period of an owner's heartbeats to the other members of the group.
OWNER_HEARTBEAT_MS = 100.0
CHECK_MS = 50.0
# Four missed heartbeats. A membership lapses 1.0 to 1.3 s after its last join; this
# saves more than half of that.
EVICTION_TIMEOUT_MS = 450.0
# A member that hears fewer of its peers than this is probably disconnected itself.
MIN_RESPONSIVE_FRACTION = 0.5
# When members join after an eviction: the first join of the new owner, and a second
# one for members that noticed the silence a few checks later.
JOIN_DELAYS_MS = (30.0, 90.0)
# Time for a takeover before the same owner may be evicted again.
EVICTION_COOLDOWN_MS = 1_000.0


class OwnerWatch:
    """Evict owners that cannot go on owning their cells.

    If an evicted owner is alive after all, fencing keeps it from writing; the cost of
    a mistake is one takeover. Only members that reach the store quickly and hear most
    of their peers may evict.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._not_before_ms = {}
        self._lost_since_ms = {}
        daemon.timers.every(CHECK_MS, self._check)

    def on_heartbeat(self, link, message):
        """Evict an owner that reports that it has lost the store, if others have not.

        A join that was sent after the report and answered shows that this instance
        still reaches the store. Otherwise members would evict owners in an outage for
        all, and the run ends that those have buffered would be lost.
        """
        address = link.listener_address
        if address is None:
            return
        if not message.store_lost or not message.owned:
            self._lost_since_ms.pop(address, None)
            return
        lost_since_ms = self._lost_since_ms.setdefault(address, steady_ms())
        membership = self._daemon.membership
        if membership.renewed_ms > lost_since_ms:
            self._evict(address, "lost the store")
        elif membership.in_group:
            membership.join_now()

    def _check(self):
        daemon = self._daemon
        for cell in range(daemon.layout.cells):
            address = daemon.directory.owner_of(cell)
            if address is None or address == daemon.settings.peer:
                continue
            if daemon.links.is_unresponsive(address, EVICTION_TIMEOUT_MS):
                self._evict(address, "silent")

    def _evict(self, address, reason):
        now_ms = steady_ms()
        if now_ms < self._not_before_ms.get(address, 0.0):
            return
        if not self._may_evict(address):
            return
        self._not_before_ms[address] = now_ms + EVICTION_COOLDOWN_MS
        self._daemon.metrics.count("owners_taken_out", reason)
        line = logger.bind(event="owner_taken_out", peer=str(address), reason=reason)
        line.info("evicting the owner at {}: {}", address, reason)
        self._daemon.directory.remove_dead(address)
        for delay_ms in JOIN_DELAYS_MS:
            self._daemon.timers.after(delay_ms, self._daemon.membership.join_now)

    def _may_evict(self, address):
        """Return whether this instance knows enough to evict an owner.

        An owner that is shutting down may be replaced at once: it keeps its cells only
        until someone else can take them.
        """
        membership = self._daemon.membership
        if self._daemon.is_stopping:
            return False
        if self._daemon.peers.is_leaving(address):
            return membership.in_group and not membership.store_lost
        if not membership.is_healthy:
            return False
        return (
            self._daemon.links.responsive_fraction(EVICTION_TIMEOUT_MS)
            >= MIN_RESPONSIVE_FRACTION
        )
