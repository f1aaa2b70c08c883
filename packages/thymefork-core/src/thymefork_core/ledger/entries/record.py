"""Record: hold one record of the log as it was read."""

from attrs import frozen

from .entry import Entry

__all__ = ["Record"]


@frozen(kw_only=True)
class Record:
    """Hold one record of the log as it was read.

    Units: `offset` counts records of the stream.
    """

    offset: int
    record_id: str
    author: str
    entries: tuple[Entry, ...]
