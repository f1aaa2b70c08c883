"""How fast machines turned out, as owners learned it, kept for the next owners."""

from attrs import frozen

from thymefork_cells import REANNOUNCE_MS, LearnedSpeed
from thymefork_net import steady_ms
from thymefork_net.peers import MachineSpeed, SpeedsLearned

__all__ = ["LearnedSpeeds"]

# What still holds is told again meanwhile; one telling may be missed.
KEPT_MS = 3.0 * REANNOUNCE_MS
# Some 20 bytes each on a link, a few times that in memory.
MOST_KEPT = 4_000
# Far beyond what sound machines differ by; a peer's figure is bounded by it.
MOST_LOG_SLOWNESS = 3.0


@frozen(kw_only=True)
class _Kept:
    speed: LearnedSpeed
    forget_at_ms: float


class LearnedSpeeds:
    """Take what owners tell; an owner that begins here starts from it.

    It is told in heartbeats to the members of the group, never stored, and an instance
    that has heard nothing learns anew.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._kept = {}  # by cell, then by machine
        self._untold = []

    def tell(self, cell, epoch, speeds):
        """Keep what an owner here has learned; the next heartbeat tells it."""
        self._keep(cell, speeds)
        self._untold.append(_message(cell, epoch, speeds))
        self._daemon.metrics.count("speeds", "told", len(speeds))

    def take_untold(self):
        """Return what the next heartbeat tells, None if nothing.

        Where no member hears it, nothing is lost: one that comes is told all.
        """
        untold, self._untold = self._untold, []
        return untold or None

    def of_owners(self):
        """Return what is known of the cells owned here, for a member that has come."""
        messages = [
            _message(cell, owner.epoch, self.of(cell))
            for cell, owner in self._daemon.owners.items()
        ]
        return [message for message in messages if message.speeds] or None

    def on_message(self, message):
        """Keep what a peer tells, unless a later owner serves here by now."""
        owner = self._daemon.owners.get(message.cell)
        if owner is not None and owner.epoch > message.epoch:
            return
        speeds = [
            LearnedSpeed(
                machine=row.machine,
                log_slowness=_bounded(row.log_slowness_milli / 1000.0),
            )
            for row in message.speeds
        ]
        self._keep(message.cell, speeds)

    def of(self, cell):
        """Return what is kept of a cell's machines."""
        now_ms = steady_ms()
        kept = self._kept.get(cell, {}).values()
        return [row.speed for row in kept if row.forget_at_ms > now_ms]

    def _keep(self, cell, speeds):
        kept = self._kept.setdefault(cell, {})
        forget_at_ms = steady_ms() + KEPT_MS
        for speed in speeds:
            kept.pop(speed.machine, None)
            kept[speed.machine] = _Kept(speed=speed, forget_at_ms=forget_at_ms)
        while len(kept) > MOST_KEPT:
            del kept[next(iter(kept))]


def _message(cell, epoch, speeds):
    rows = [
        MachineSpeed(
            machine=speed.machine,
            log_slowness_milli=round(1000.0 * speed.log_slowness),
        )
        for speed in speeds
    ]
    return SpeedsLearned(cell=cell, epoch=epoch, speeds=rows)


def _bounded(log_slowness):
    return max(-MOST_LOG_SLOWNESS, min(MOST_LOG_SLOWNESS, log_slowness))
