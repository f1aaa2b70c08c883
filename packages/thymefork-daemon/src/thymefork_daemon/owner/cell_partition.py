"""The partition of the store that a cell's records are in."""

from ..membership import CELLS_TOPIC

__all__ = ["CellPartition"]


class CellPartition:
    """Append to and read a cell's partition under one epoch.

    All owners of a cell write under one writer's name, so that the store refuses the
    appends of all but the latest epoch.
    """

    def __init__(self, *, store, cell, partition, epoch):
        self.cell = cell
        self.epoch = epoch
        self._store = store
        self._partition = partition

    def append(self, *, records, sequence, on_result, is_repeat=False):
        """Append records; `is_repeat` tells that an earlier call may have done it."""
        self._store.append(
            topic=CELLS_TOPIC,
            partition=self._partition,
            records=records,
            writer=f"cell-{self.cell}",
            epoch=self.epoch,
            sequence=sequence,
            is_repeat=is_repeat,
            on_result=on_result,
        )

    def newest(self, *, after, on_result):
        """Read a page of the newest record of each key."""
        self._store.newest(
            topic=CELLS_TOPIC,
            partition=self._partition,
            after=after,
            on_result=on_result,
        )
