"""The number of cells, agreed once for the lifetime of the system."""

import orjson
from loguru import logger

from thymefork_machines.store import AppendOutcome
from thymefork_net import steady_ms

from .capacity import Tier

__all__ = ["WORKERS_PER_CELL", "Layout"]

TOPIC = "keyed.layout"
CELLS_KEY = "cells"
# Set once an instance above the least tier exists. Each tier also has a key of its own,
# so that others know whom to wait for after all instances were lost.
LARGE_KEY = "large"
TIER_KEYS = {Tier.PARTIAL: "partial", Tier.FULL: "full"}
# What one Python process can schedule for. Larger cells suit wide steps, whose workers
# all have to be found in one cell.
WORKERS_PER_CELL = 200
# Workers register within this time of the start.
WORKER_REGISTRATION_MS = 3_500.0
RETRY_PERIOD_MS = 300.0


class Layout:
    """Read the number of cells, or propose it if none is stored yet.

    `tiers` are those of which an instance has ever existed.
    """

    def __init__(self, *, store, timers, max_cells, worker_list, tier, on_known):
        self.cells = 0
        self.tiers = {Tier.LEAST, tier}
        self._tier = tier
        self._store = store
        self._timers = timers
        self._max_cells = max_cells
        self._worker_list = worker_list
        self._on_known = on_known
        self._began_ms = steady_ms()

    def partition_of(self, cell):
        """Return the partition that carries a cell.

        The store assigns blocks of partitions to members. Spreading the cells over all
        partitions assigns them to different members. New members get the first
        partitions and the earliest member keeps the last ones, so cells are numbered
        from the end: an owner keeps its cell while others join and leave.
        """
        return self._max_cells - 1 - cell * self._max_cells // max(1, self.cells)

    @property
    def best_tier(self):
        """Return the best tier of which an instance has ever existed."""
        return max(self.tiers)

    def add_tier(self, tier):
        """Add a tier of which an instance was heard."""
        self.tiers.add(tier)

    def start(self):
        """Read the agreed number of cells."""
        self._store.newest(topic=TOPIC, on_result=self._on_newest)

    def _retry_later(self):
        self._timers.after(RETRY_PERIOD_MS, self.start)

    def _on_newest(self, result):
        if result is None:
            self._retry_later()
            return
        values = {record.key: record.value for record in result.records}
        if not all(values.get(key) for key in self._own_keys()):
            self._announce_tier()
            return
        self._read_tiers(values)
        if values.get(CELLS_KEY):
            self._read_cells(values[CELLS_KEY])
            return
        workers_are_registered = steady_ms() - self._began_ms > WORKER_REGISTRATION_MS
        self._worker_list.set_wanted(True)
        if workers_are_registered and self._worker_list.entries:
            self._propose(result.end_offset)
        else:
            self._retry_later()

    def _read_cells(self, value):
        """Apply the stored number of cells; an invalid one is read again later.

        A guess could assign the same job to two owners.
        """
        try:
            cells = orjson.loads(value)["cells"]
        except (ValueError, TypeError, KeyError) as failure:
            cells = repr(failure)
        if type(cells) is int and 0 < cells <= self._max_cells:
            self._set_cells(cells)
            return
        line = logger.bind(event="layout_unreadable", cells=cells)
        line.error("the stored number of cells is invalid")
        self._retry_later()

    def _own_keys(self):
        """Return the keys that announce this instance's tier."""
        own_key = TIER_KEYS.get(self._tier)
        return [LARGE_KEY, own_key] if own_key else []

    def _read_tiers(self, values):
        """Read the tiers; older versions wrote only the key for large instances."""
        stored_tiers = {tier for tier, key in TIER_KEYS.items() if values.get(key)}
        if values.get(LARGE_KEY) and not stored_tiers:
            stored_tiers = {Tier.PARTIAL}
        self.tiers = {Tier.LEAST, self._tier, *stored_tiers}

    def _announce_tier(self):
        """Store, once for the lifetime of the system, that this tier exists."""
        self._store.append(
            topic=TOPIC,
            partition=0,
            records=[(key, b"true") for key in self._own_keys()],
            on_result=lambda result: self._retry_later(),
        )

    def _propose(self, end_offset):
        count = len(self._worker_list.entries)
        cells = max(1, min(self._max_cells, round(count / WORKERS_PER_CELL)))
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
            self._retry_later()

    def _set_cells(self, cells):
        self.cells = cells
        logger.bind(event="layout_known", cells=cells).info("number of cells agreed")
        self._on_known()
