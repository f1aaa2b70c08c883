"""Loading of a cell from its stored records."""

import time

from thymefork_cells import Cell

__all__ = ["load_cell"]


def load_cell(*, daemon, cell_index, epoch, records, now_ms):
    """Return a cell with the state that its records describe."""
    cell = Cell(
        cell=cell_index,
        epoch=epoch,
        cell_count=daemon.layout.cells,
        bounds=daemon.settings.bounds,
        configuration=daemon.configuration,
        membership_ms=daemon.membership.ttl_ms,
        now_ms=now_ms,
    )
    cell.load(records, epoch_ms=time.time() * 1000.0, now_ms=now_ms)
    return cell
