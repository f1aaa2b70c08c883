"""Loading of a cell from its stored records."""

import time

from thymefork_cells import Cell
from thymefork_cells.specs import RecordLimits

__all__ = ["load_cell"]


def load_cell(*, daemon, cell_index, epoch, records, now_ms):
    """Return a cell with the state that its records describe."""
    store = daemon.settings.store
    cell = Cell(
        cell=cell_index,
        epoch=epoch,
        cell_count=daemon.layout.cells,
        bounds=daemon.settings.bounds,
        configuration=daemon.configuration,
        membership_ms=daemon.membership.ttl_ms,
        record_limits=RecordLimits(
            max_record_bytes=store.max_record_bytes, max_call_bytes=store.max_call_bytes
        ),
        now_ms=now_ms,
    )
    cell.load(records, epoch_ms=time.time() * 1000.0, now_ms=now_ms)
    return cell
