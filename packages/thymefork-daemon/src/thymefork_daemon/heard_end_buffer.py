"""Run ends that owners received but could not store, kept for the next owners."""

from attrs import frozen
from loguru import logger

from thymefork_cells import HeardEnd
from thymefork_net import steady_ms
from thymefork_net.peers import EndsHeard, HeardEnd as HeardEndRow

__all__ = ["HeardEndBuffer"]

# Longer than an owner keeps its cell without the store (8 s) plus the takeover that
# follows, which a longer outage may delay.
RETENTION_MS = 60_000.0
# Bounds memory: 100 s of ends at 100 starts a second, some 2 MB. Ends beyond it are
# dropped and counted; their tasks run again.
MAX_ENDS_PER_CELL = 10_000
# Keeps a message well below the size limit of 1 MiB: an end with a checkpoint takes up
# to about 300 bytes.
MAX_ENDS_PER_MESSAGE = 1_000


@frozen(kw_only=True)
class _BufferedEnd:
    """Hold a run end, the epoch of the owner that received it, and its expiry."""

    end: HeardEnd
    epoch: int
    expires_at_ms: float


class HeardEndBuffer:
    """Buffer run ends that owners announce, and forward them to the next owner.

    An instance that missed the announcement, because it was no member or started
    later, gets all buffered ends from each peer once it owns the cell.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._ends_by_cell = {}  # by cell, then by task, run and worker
        self._forwarded_epochs = {}  # by cell, the epoch of the last peer served

    def announce(self, cell, epoch, ends):
        """Buffer what a local owner has received, and send it to the other members."""
        self._add(cell, epoch, ends)
        for link in self._daemon.peers.member_links:
            _send(link, cell, epoch, ends)
        self._daemon.metrics.count("heard_ends", "told", len(ends))

    def on_message(self, message):
        """Buffer what a peer announces, and pass it to a local owner."""
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
        self._add(message.cell, message.epoch, ends)
        owner = self._daemon.owners.get(message.cell)
        if owner is not None and owner.epoch > message.epoch:
            owner.take_heard_ends(ends)

    def ends_before(self, cell, epoch):
        """Return the run ends of a cell that owners before an epoch have received."""
        self._remove_expired(cell)
        kept = self._ends_by_cell.get(cell, {}).values()
        return [row.end for row in kept if row.epoch < epoch]

    def forward_to_owner(self, link, cell, epoch):
        """Send the buffered ends to a peer that owns a cell, once for each epoch."""
        if (
            cell not in self._ends_by_cell
            or self._forwarded_epochs.get(cell, -1) >= epoch
        ):
            return
        self._forwarded_epochs[cell] = epoch
        ends = self.ends_before(cell, epoch)
        if ends:
            latest = max(row.epoch for row in self._ends_by_cell[cell].values())
            _send(link, cell, min(latest, epoch - 1), ends)
            self._daemon.metrics.count("heard_ends", "handed_on", len(ends))
            line = logger.bind(event="ends_handed_on", cell=cell, epoch=epoch)
            line.info("forwarded {} run ends to the owner at {}", len(ends), link.name)

    def _add(self, cell, epoch, ends):
        self._remove_expired(cell)
        kept = self._ends_by_cell.setdefault(cell, {})
        expires_at_ms = steady_ms() + RETENTION_MS
        for end in ends:
            if len(kept) >= MAX_ENDS_PER_CELL:
                self._daemon.metrics.count("heard_ends", "dropped")
                continue
            key = (end.task, end.run_id, end.worker_id)
            kept[key] = _BufferedEnd(end=end, epoch=epoch, expires_at_ms=expires_at_ms)

    def _remove_expired(self, cell):
        now_ms = steady_ms()
        kept = self._ends_by_cell.get(cell, {})
        live = {key: row for key, row in kept.items() if row.expires_at_ms > now_ms}
        if live:
            self._ends_by_cell[cell] = live
        else:
            self._ends_by_cell.pop(cell, None)


def _send(link, cell, epoch, ends):
    """Send run ends on a link, in messages of bounded size."""
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
