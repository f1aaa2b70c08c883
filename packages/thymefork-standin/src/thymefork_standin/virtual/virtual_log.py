"""An append-only log on virtual time."""

from attrs import Factory, define

from thymefork_core.ledger import Record

__all__ = ["VirtualLog"]


@define
class VirtualLog:
    """Hold streams of records, with an outage switch for each reader."""

    streams: dict = Factory(dict)
    out_for: set = Factory(set)
    lose_answers: int = 0
    appends: int = 0
    entries: int = 0

    def append(self, name, batch):
        """Append a batch and return its offset."""
        rows = self.streams.setdefault(name, [])
        rows.append(
            Record(
                offset=len(rows),
                record_id=batch.record_id,
                author=batch.author,
                entries=batch.entries,
            )
        )
        self.appends += 1
        self.entries += len(batch.entries)
        return len(rows) - 1

    def after(self, name, offset):
        """Return the records of a stream from an offset on."""
        return tuple(self.streams.get(name, ())[offset:])
