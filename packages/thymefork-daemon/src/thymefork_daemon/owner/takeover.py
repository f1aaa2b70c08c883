"""Takeover of a cell: fencing its partition and reading its records."""

import random

import orjson
from loguru import logger

from thymefork_cells import EPOCH_KEY
from thymefork_machines.store import AppendOutcome

__all__ = ["Takeover"]

RETRY_DELAY_MS = 80.0
MAX_FIRST_SEQUENCE = 2**30


class Takeover:
    """Fence the partition under the new epoch, then read the newest record per key.

    The fence is a record with a random sequence number. A new epoch may start at any
    number, while a number out of sequence is refused if another owner already uses the
    epoch.
    """

    def __init__(self, *, partition, timers, owner, on_loaded, on_fenced):
        self._partition = partition
        self._timers = timers
        self._owner = owner
        self._on_loaded = on_loaded
        self._on_fenced = on_fenced
        self._records = {}
        self.sequence = random.randrange(1, MAX_FIRST_SEQUENCE)
        self._ended = False

    def start(self):
        """Append the fence."""
        if self._ended:
            return
        epoch = self._partition.epoch
        # A key of its own, so that the next owner finds the epochs of those before it.
        self._partition.append(
            records=[(f"{EPOCH_KEY}{epoch}", orjson.dumps([self._owner, epoch]))],
            sequence=self.sequence,
            on_result=self._on_fence,
        )

    def abandon(self):
        """Stop; the cell is no longer owned here."""
        self._ended = True

    def _on_fence(self, result):
        if self._ended:
            return
        if result.outcome is AppendOutcome.STORED:
            self._read("")
        elif result.outcome in (AppendOutcome.FENCED, AppendOutcome.OUT_OF_SEQUENCE):
            self._ended = True
            self._on_fenced()
        else:
            line = logger.bind(event="fence_not_set", cell=self._partition.cell)
            line.info("fence not set, retrying: {} {}", result.outcome, result.error)
            self._timers.after(RETRY_DELAY_MS, self.start)

    def _read(self, after):
        if self._ended:
            return
        self._partition.newest(
            after=after, on_result=lambda result: self._on_page(result, after)
        )

    def _on_page(self, result, after):
        if self._ended:
            return
        if result is None:
            self._timers.after(RETRY_DELAY_MS, lambda: self._read(after))
            return
        for record in result.records:
            if record.value:
                self._records[record.key] = record.value
        if result.next_key:
            self._read(result.next_key)
        else:
            self._ended = True
            self._on_loaded(self._records)
