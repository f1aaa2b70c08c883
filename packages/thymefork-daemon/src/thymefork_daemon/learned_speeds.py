"""How fast machines turned out, as owners learned it, kept for the next owners."""

from attrs import frozen

from thymefork_cells import LearnedSpeed
from thymefork_net import steady_ms
from thymefork_net.peers import MachineSpeed, SpeedsLearned

__all__ = ["LearnedSpeeds"]

# Machines change seldom, and a wrong speed is corrected by a few runs.
KEPT_MS = 300_000.0
# Some 20 bytes each on a link, a few times that in memory.
MOST_KEPT = 4_000


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
        rows = [
            MachineSpeed(
                machine=speed.machine,
                log_slowness_milli=round(1000.0 * speed.log_slowness),
            )
            for speed in speeds
        ]
        self._untold.append(SpeedsLearned(cell=cell, epoch=epoch, speeds=rows))
        self._daemon.metrics.count("speeds", "told", len(rows))

    def take_untold(self):
        """Return what the next heartbeat tells, None if nothing."""
        untold, self._untold = self._untold, []
        return untold or None

    def on_message(self, message):
        """Keep what a peer tells, unless a later owner serves here by now."""
        owner = self._daemon.owners.get(message.cell)
        if owner is not None and owner.epoch > message.epoch:
            return
        speeds = [
            LearnedSpeed(
                machine=row.machine, log_slowness=row.log_slowness_milli / 1000.0
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
