"""The partition of the store that holds a cell's records."""

from ..membership import CELLS_TOPIC

__all__ = ["CellPartition"]


class CellPartition:
    """Append to and read a cell's partition under one epoch.

    All owners of a cell use the same writer name, so the store refuses appends of all
    but the latest epoch.
    """

    def __init__(self, *, store, cell, partition, epoch):
        self.cell = cell
        self.epoch = epoch
        self._store = store
        self._partition = partition

    def append(self, *, records, sequence, on_result, is_repeat=False):
        """Append records; `is_repeat` is true if a call for them was sent before."""
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
        """Read one page of the newest record of each key."""
        self._store.newest(
            topic=CELLS_TOPIC,
            partition=self._partition,
            after=after,
            on_result=on_result,
        )
