"""Owners that fell silent, or lost the store, replaced before their time is over."""

from loguru import logger

from thymefork_net import steady_ms

__all__ = ["OWNER_HEARTBEAT_MS", "OwnerWatch"]

# An owner tells the other members of the group that it lives this often.
OWNER_HEARTBEAT_MS = 100.0
CHECK_MS = 50.0
# An owner that missed four beats in a row is taken for dead. Its membership would
# lapse 1.0 to 1.3 s after its last join; this saves more than half of that.
SILENT_MS = 450.0
# A member that hears fewer of its peers than this is more likely cut off itself.
LEAST_HEARD_SHARE = 0.5
# The members join this long after they judged: they judge within a few checks of each
# other, and the one that is dealt the cell learns it with its next join.
HURRY_AFTER_MS = (30.0, 90.0)
# One owner is not taken out twice within this time: a takeover and two joins.
PAUSE_MS = 1_000.0


class OwnerWatch:
    """Take an owner out of the group that can't go on owning.

    Were the owner alive after all, the fences would keep it from doing harm; what a
    mistake costs is a takeover. So only members act that reach the store quickly and
    hear most of their peers.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._not_before_ms = {}
        self._lost_since_ms = {}
        daemon.timers.every(CHECK_MS, self._check)

    def on_heartbeat(self, link, message):
        """Take out an owner that says that it has lost the store, if it is alone.

        Only a join that was sent after the owner said so, and answered, tells that this
        instance has not lost the store as well. Without it, members took their owner
        out at the beginning of an outage for all; the store did that on its return, and
        what the owner had heard in the outage was lost with its cell.
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
            if daemon.links.is_unresponsive(address, SILENT_MS):
                self._evict(address, "silent")

    def _evict(self, address, reason):
        now_ms = steady_ms()
        if now_ms < self._not_before_ms.get(address, 0.0):
            return
        if not self._may_judge(address):
            return
        self._not_before_ms[address] = now_ms + PAUSE_MS
        self._daemon.metrics.count("owners_taken_out", reason)
        line = logger.bind(event="owner_taken_out", peer=str(address), reason=reason)
        line.info("the owner at {} is replaced: {}", address, reason)
        self._daemon.directory.remove_dead(address)
        for delay_ms in HURRY_AFTER_MS:
            self._daemon.timers.after(delay_ms, self._daemon.membership.join_now)

    def _may_judge(self, address):
        """Tell whether this instance knows enough to have an owner replaced.

        One that leaves has its cells for nobody else's sake: replaced at once it is no
        loss, and judged with care it held a cell for a second more while cut off.
        """
        membership = self._daemon.membership
        if self._daemon.is_stopping:
            return False
        if self._daemon.peers.is_leaving(address):
            return membership.in_group and not membership.store_lost
        if not membership.is_healthy:
            return False
        return self._daemon.links.responsive_fraction(SILENT_MS) >= LEAST_HEARD_SHARE
