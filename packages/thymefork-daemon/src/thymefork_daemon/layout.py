"""The number of cells, agreed once for the life of the system."""

import orjson
from loguru import logger

from thymefork_machines.store import AppendOutcome
from thymefork_net import steady_ms

from .capacity import Tier

__all__ = ["WORKERS_PER_CELL", "Layout"]

TOPIC = "keyed.layout"
CELLS_KEY = "cells"
# Says that instances above the least tier take part; each tier has a key of its own
# beside it, so that others know whom to wait for after a loss of all.
LARGE_KEY = "large"
TIER_KEYS = {Tier.PARTIAL: "partial", Tier.FULL: "full"}
# One Python process decides for as many (docs/CAPACITY.md). Wide steps want as many
# workers in one cell as that allows: a policy's few workers, with a bound a worker, may
# not be found in a smaller one.
WORKERS_PER_CELL = 200
# Workers report themselves within about three seconds of the start.
SETTLE_MS = 3_500.0
PERIOD_MS = 300.0


class Layout:
    """Read the number of cells, or be the one instance that writes it.

    `tiers` are those of which an instance has ever been there.
    """

    def __init__(self, *, store, timers, max_cells, worker_list, tier, on_known):
        self.cells = 0
        self.tiers = {Tier.LEAST, tier}
        self._tier = tier
        self._store = store
        self._timers = timers
        self._most_cells = max_cells
        self._worker_list = worker_list
        self._on_known = on_known
        self._began_ms = steady_ms()

    def partition_of(self, cell):
        """Return the partition that a cell is dealt by.

        Members are dealt blocks of partitions; spread over all of them, the cells
        come to different members. The store deals newcomers the first partitions and
        leaves the last to the earliest member, so cells begin at the end: an owner
        then keeps its cell while others come and go.
        """
        return self._most_cells - 1 - cell * self._most_cells // max(1, self.cells)

    @property
    def best_tier(self):
        """Return the best tier of which an instance has ever been there."""
        return max(self.tiers)

    def add_tier(self, tier):
        """Take note of a tier that was heard of, perhaps new since the start."""
        self.tiers.add(tier)

    def start(self):
        """Look for the agreed number."""
        self._store.newest(topic=TOPIC, on_result=self._on_newest)

    def _again(self):
        self._timers.after(PERIOD_MS, self.start)

    def _on_newest(self, result):
        if result is None:
            self._again()
            return
        values = {record.key: record.value for record in result.records}
        if not all(values.get(key) for key in self._own_keys()):
            self._announce_tier()
            return
        self._read_tiers(values)
        if values.get(CELLS_KEY):
            self._read_cells(values[CELLS_KEY])
            return
        settled = steady_ms() - self._began_ms > SETTLE_MS
        self._worker_list.set_wanted(True)
        if settled and self._worker_list.entries:
            self._propose(result.end_offset)
        else:
            self._again()

    def _read_cells(self, value):
        """Take the agreed number; one that can't be read is waited for, never guessed.

        Another guess could deal the same job to two owners.
        """
        try:
            cells = orjson.loads(value)["cells"]
        except (ValueError, TypeError, KeyError) as failure:
            cells = repr(failure)
        if type(cells) is int and 0 < cells <= self._most_cells:
            self._found(cells)
            return
        line = logger.bind(event="layout_unreadable", cells=cells)
        line.error("the number of cells can't be read")
        self._again()

    def _own_keys(self):
        """Return the keys that say that instances of this one's tier take part."""
        own_key = TIER_KEYS.get(self._tier)
        return [LARGE_KEY, own_key] if own_key else []

    def _read_tiers(self, values):
        """Take the tiers; who wrote before there were any wrote the first key alone."""
        told = {tier for tier, key in TIER_KEYS.items() if values.get(key)}
        if values.get(LARGE_KEY) and not told:
            told = {Tier.PARTIAL}
        self.tiers = {Tier.LEAST, self._tier, *told}

    def _announce_tier(self):
        """Write, once for the life of the system, that this tier takes part."""
        self._store.append(
            topic=TOPIC,
            partition=0,
            records=[(key, b"true") for key in self._own_keys()],
            on_result=lambda result: self._again(),
        )

    def _propose(self, end_offset):
        count = len(self._worker_list.entries)
        cells = max(1, min(self._most_cells, round(count / WORKERS_PER_CELL)))
        self._store.append(
            topic=TOPIC,
            partition=0,
            records=[(CELLS_KEY, orjson.dumps({"cells": cells}))],
            expected_end=end_offset,
            on_result=self._on_proposed,
        )

    def _on_proposed(self, result):
        if result.outcome is AppendOutcome.STORED:
            self.start()
        else:
            self._again()

    def _found(self, cells):
        self.cells = cells
        logger.bind(event="layout_known", cells=cells).info("cells are agreed")
        self._on_known()
