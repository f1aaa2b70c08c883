"""Ends that owners heard and could not store, kept for the next owners."""

from attrs import frozen
from loguru import logger

from thymefork_cells import HeardEnd
from thymefork_net import steady_ms
from thymefork_net.peers import EndsHeard, HeardEnd as HeardEndRow

__all__ = ["HeardEndBuffer"]

# An owner goes on for 8 s without the store, and a longer outage may pass before the
# next one has taken over; after a minute callers have long come back with what they
# want.
RETENTION_MS = 60_000.0
# At 100 starts a second this is 100 s of ends, some 2 MB; what comes beyond is dropped
# and counted, and its tasks then run again as if nothing had been told.
MAX_ENDS_PER_CELL = 10_000
# A message may have 1 MiB, and an end with a checkpoint takes up to about 300 bytes.
MAX_ENDS_PER_MESSAGE = 1_000


@frozen(kw_only=True)
class _Kept:
    """Hold an end, the epoch of the owner that heard it, and when to forget it."""

    end: HeardEnd
    epoch: int
    forget_at_ms: float


class HeardEndBuffer:
    """Take what owners tell, and hand it to the next owner, here or on a peer.

    An instance that was not a member in the outage, or was started since, is handed
    everything by each peer once it says that it owns the cell.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._kept = {}  # by cell, then by the run and its worker
        self._handed_on = {}  # by cell, the latest epoch whose owner on a peer has it

    def announce(self, cell, epoch, ends):
        """Keep what an owner here has heard, and tell the other members."""
        self._keep(cell, epoch, ends)
        for link in self._daemon.peers.member_links:
            _send(link, cell, epoch, ends)
        self._daemon.metrics.count("heard_ends", "told", len(ends))

    def on_message(self, message):
        """Keep what a peer tells; an owner here takes it at once."""
        ends = [
            HeardEnd(
                worker_id=row.worker_id,
                task=row.task,
                run_id=row.run_id,
                how=row.how,
                checkpoint=row.checkpoint,
            )
            for row in message.ends
        ]
        self._keep(message.cell, message.epoch, ends)
        owner = self._daemon.owners.get(message.cell)
        if owner is not None and owner.epoch > message.epoch:
            owner.take_heard_ends(ends)

    def ends_before(self, cell, epoch):
        """Return the ends of a cell that owners before an epoch have heard."""
        self._forget_old(cell)
        kept = self._kept.get(cell, {}).values()
        return [row.end for row in kept if row.epoch < epoch]

    def forward_to_owner(self, link, cell, epoch):
        """Hand what is kept to a peer that owns a cell, once for each epoch."""
        if cell not in self._kept or self._handed_on.get(cell, -1) >= epoch:
            return
        self._handed_on[cell] = epoch
        ends = self.ends_before(cell, epoch)
        if ends:
            latest = max(row.epoch for row in self._kept[cell].values())
            _send(link, cell, min(latest, epoch - 1), ends)
            self._daemon.metrics.count("heard_ends", "handed_on", len(ends))
            line = logger.bind(event="ends_handed_on", cell=cell, epoch=epoch)
            line.info("{} ends to the owner at {}", len(ends), link.name)

    def _keep(self, cell, epoch, ends):
        self._forget_old(cell)
        kept = self._kept.setdefault(cell, {})
        forget_at_ms = steady_ms() + RETENTION_MS
        for end in ends:
            if len(kept) >= MAX_ENDS_PER_CELL:
                self._daemon.metrics.count("heard_ends", "dropped")
                continue
            key = (end.task, end.run_id, end.worker_id)
            kept[key] = _Kept(end=end, epoch=epoch, forget_at_ms=forget_at_ms)

    def _forget_old(self, cell):
        now_ms = steady_ms()
        kept = self._kept.get(cell, {})
        live = {key: row for key, row in kept.items() if row.forget_at_ms > now_ms}
        if live:
            self._kept[cell] = live
        else:
            self._kept.pop(cell, None)


def _send(link, cell, epoch, ends):
    """Send ends on a link, in messages of bounded size."""
    rows = [
        HeardEndRow(
            worker_id=end.worker_id,
            task=end.task,
            run_id=end.run_id,
            how=end.how,
            checkpoint=end.checkpoint,
        )
        for end in ends
    ]
    for first in range(0, len(rows), MAX_ENDS_PER_MESSAGE):
        part = rows[first : first + MAX_ENDS_PER_MESSAGE]
        link.send(EndsHeard(cell=cell, epoch=epoch, ends=part))
