"""What owners promised about their leases, kept for the next owners."""

import math

from attrs import define, evolve, field
from loguru import logger

from thymefork_cells import LeaseNotice, LeavingWorker, OwnerEnd
from thymefork_net import steady_ms
from thymefork_net.peers import (
    LeaseNotice as LeaseNoticeMessage,
    LeavingWorker as LeavingWorkerRow,
    OwnerEnd as OwnerEndRow,
)

__all__ = ["LeaseNoticeBuffer"]

# Longer than an owner keeps its cell without the store (8 s) plus the takeover that
# follows, which a longer outage may delay.
RETENTION_MS = 60_000.0
# Bound memory. What is not kept is not promised: the next owner waits for longer.
MAX_WORKERS_PER_EPOCH = 4_000
MAX_EPOCHS_PER_CELL = 20
# Keeps a message well below the size limit of 1 MiB: a worker takes some 40 bytes.
MAX_WORKERS_PER_MESSAGE = 1_000


@define(kw_only=True)
class _Promises:
    """Hold what the owner under one epoch has promised."""

    expires_at_ms: float
    leaving: dict = field(factory=dict)  # by worker id
    end: OwnerEnd | None = None

    def add(self, notice):
        """Add a later notice of the same owner."""
        for worker in notice.leaving:
            known = self.leaving.get(worker.worker_id)
            if known is None and len(self.leaving) >= MAX_WORKERS_PER_EPOCH:
                continue
            if known is None or _lasts_longer(worker, known):
                self.leaving[worker.worker_id] = worker
        self.end = self.end or notice.end

    def as_notice(self, epoch):
        leaving = tuple(self.leaving.values())
        return LeaseNotice(epoch=epoch, leaving=leaving, end=self.end)


class LeaseNoticeBuffer:
    """Buffer the notices that owners announce, and forward them to the next owner.

    Instances have different clocks, so messages hold the time that is left or has
    passed. A delayed message only makes its receiver wait longer.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._promises_by_cell = {}  # by cell, then by epoch
        self._forwarded_epochs = {}  # by cell, the epoch of the last peer served

    def announce(self, cell, notice):
        """Buffer a local owner's notice, and send it to the other members."""
        self._add(cell, notice)
        for message in _to_messages(cell, notice):
            self._daemon.peers.send_to_members([message])
        self._daemon.metrics.count("lease_notices", "announced")

    def on_message(self, message):
        """Buffer a peer's notice, and pass it to a local owner."""
        notice = _from_message(message)
        self._add(message.cell, notice)
        owner = self._daemon.owners.get(message.cell)
        if owner is not None and owner.epoch > message.epoch:
            owner.take_lease_notice(notice)

    def notices_before(self, cell, epoch):
        """Return the notices of a cell's owners before an epoch."""
        self._remove_expired(cell)
        return [
            promises.as_notice(earlier)
            for earlier, promises in self._promises_by_cell.get(cell, {}).items()
            if earlier < epoch
        ]

    def messages_of_owned_cells(self):
        """Return the notices of all owners on this instance, for a new member."""
        messages = []
        for cell, owner in self._daemon.owners.items():
            promises = self._promises_by_cell.get(cell, {}).get(owner.epoch)
            if promises is not None:
                messages += _to_messages(cell, promises.as_notice(owner.epoch))
        return messages or None

    def forward_to_owner(self, link, cell, epoch):
        """Send the buffered notices to a peer that owns a cell, once for each epoch."""
        if self._forwarded_epochs.get(cell, -1) >= epoch:
            return
        self._forwarded_epochs[cell] = epoch
        notices = self.notices_before(cell, epoch)
        if not notices:
            return
        for notice in notices:
            for message in _to_messages(cell, notice):
                self._daemon.peers.send_lease_notices(link, [message])
        self._daemon.metrics.count("lease_notices", "handed_on")
        line = logger.bind(event="lease_notices_handed_on", cell=cell, epoch=epoch)
        line.info("forwarded {} notices to the owner at {}", len(notices), link.name)

    def _add(self, cell, notice):
        self._remove_expired(cell)
        by_epoch = self._promises_by_cell.setdefault(cell, {})
        expires_at_ms = steady_ms() + RETENTION_MS
        promises = by_epoch.pop(notice.epoch, None)
        promises = promises or _Promises(expires_at_ms=expires_at_ms)
        by_epoch[notice.epoch] = promises
        promises.expires_at_ms = expires_at_ms
        promises.add(notice)
        while len(by_epoch) > MAX_EPOCHS_PER_CELL:
            del by_epoch[min(by_epoch)]

    def _remove_expired(self, cell):
        now_ms = steady_ms()
        by_epoch = self._promises_by_cell.get(cell, {})
        for epoch, promises in list(by_epoch.items()):
            if promises.expires_at_ms <= now_ms:
                del by_epoch[epoch]


def _lasts_longer(worker, other):
    return worker.long_leases_until_ms > other.long_leases_until_ms


def _to_messages(cell, notice):
    """Return a notice as messages of bounded size."""
    leaving = notice.leaving
    firsts = range(0, max(1, len(leaving)), MAX_WORKERS_PER_MESSAGE)
    return [
        _to_message(
            cell,
            evolve(notice, leaving=leaving[first : first + MAX_WORKERS_PER_MESSAGE]),
        )
        for first in firsts
    ]


def _to_message(cell, notice):
    now_ms = steady_ms()
    rows = [
        LeavingWorkerRow(
            worker_id=worker.worker_id,
            born_epoch_ms=worker.born_epoch_ms,
            long_leases_end_in_ms=_time_left_ms(worker.long_leases_until_ms, now_ms),
        )
        for worker in notice.leaving
    ]
    end = notice.end
    if end is not None:
        end = OwnerEndRow(
            ended_ago_ms=math.floor(now_ms - end.ended_ms),
            has_served=end.has_served,
            earlier_leases_end_in_ms=_time_left_ms(end.earlier_leases_until_ms, now_ms),
        )
    return LeaseNoticeMessage(cell=cell, epoch=notice.epoch, leaving=rows, end=end)


def _time_left_ms(until_ms, now_ms):
    return max(0, math.ceil(until_ms - now_ms))


def _from_message(message):
    now_ms = steady_ms()
    leaving = tuple(
        LeavingWorker(
            worker_id=row.worker_id,
            born_epoch_ms=row.born_epoch_ms,
            long_leases_until_ms=now_ms + row.long_leases_end_in_ms,
        )
        for row in message.leaving
    )
    end = message.end
    if end is not None:
        end = OwnerEnd(
            ended_ms=now_ms - end.ended_ago_ms,
            has_served=end.has_served,
            earlier_leases_until_ms=now_ms + end.earlier_leases_end_in_ms,
        )
    return LeaseNotice(epoch=message.epoch, leaving=leaving, end=end)
