"""Assignment of jobs and workers to cells."""

import xxhash

__all__ = ["cell_of"]


def cell_of(name, cell_count):
    """Return the cell of a job id or machine id."""
    return xxhash.xxh32_intdigest(name.encode()) % cell_count
