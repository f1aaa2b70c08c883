"""Machine speeds learned by owners, kept for the cells' next owners."""

from attrs import frozen

from thymefork_cells import REANNOUNCE_MS, LearnedSpeed
from thymefork_net import steady_ms
from thymefork_net.peers import MachineSpeed, SpeedsLearned

__all__ = ["LearnedSpeeds"]

# Owners announce unchanged speeds again within this time; one announcement may be
# missed.
RETENTION_MS = 3.0 * REANNOUNCE_MS
# Bounds memory and the size of heartbeats.
MAX_SPEEDS_PER_CELL = 4_000
# Plausible limit for speeds announced by peers.
MAX_LOG_SLOWNESS = 3.0


@frozen(kw_only=True)
class _SpeedEntry:
    speed: LearnedSpeed
    expires_ms: float


class LearnedSpeeds:
    """Keep the speeds that owners announce, as a start for an owner on this instance.

    Speeds are announced in heartbeats to members of the group and never stored; an
    instance that has received none learns them anew.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._entries_by_cell = {}  # by cell, then by machine
        self._unannounced = []

    def announce(self, cell, epoch, speeds):
        """Keep speeds that a local owner learned; the next heartbeat sends them."""
        self._add(cell, speeds)
        self._unannounced.append(_to_message(cell, epoch, speeds))
        self._daemon.metrics.count("speeds", "told", len(speeds))

    def take_unannounced(self):
        """Return what the next heartbeat announces, or None.

        A member that joins later is sent all speeds separately.
        """
        unannounced, self._unannounced = self._unannounced, []
        return unannounced or None

    def of_owned_cells(self):
        """Return the speeds of all cells owned here, for a new member."""
        messages = [
            _to_message(cell, owner.epoch, self.of_cell(cell))
            for cell, owner in self._daemon.owners.items()
        ]
        return [message for message in messages if message.speeds] or None

    def on_message(self, message):
        """Keep speeds that a peer announced, unless a later owner serves here."""
        owner = self._daemon.owners.get(message.cell)
        if owner is not None and owner.epoch > message.epoch:
            return
        speeds = [
            LearnedSpeed(
                machine=row.machine,
                log_slowness=_clamp(row.log_slowness_milli / 1000.0),
            )
            for row in message.speeds
        ]
        self._add(message.cell, speeds)

    def of_cell(self, cell):
        """Return the speeds kept for a cell's machines."""
        now_ms = steady_ms()
        entries = self._entries_by_cell.get(cell, {}).values()
        return [row.speed for row in entries if row.expires_ms > now_ms]

    def _add(self, cell, speeds):
        entries = self._entries_by_cell.setdefault(cell, {})
        expires_ms = steady_ms() + RETENTION_MS
        for speed in speeds:
            entries.pop(speed.machine, None)
            entries[speed.machine] = _SpeedEntry(speed=speed, expires_ms=expires_ms)
        while len(entries) > MAX_SPEEDS_PER_CELL:
            del entries[next(iter(entries))]


def _to_message(cell, epoch, speeds):
    rows = [
        MachineSpeed(
            machine=speed.machine,
            log_slowness_milli=round(1000.0 * speed.log_slowness),
        )
        for speed in speeds
    ]
    return SpeedsLearned(cell=cell, epoch=epoch, speeds=rows)


def _clamp(log_slowness):
    return max(-MAX_LOG_SLOWNESS, min(MAX_LOG_SLOWNESS, log_slowness))
