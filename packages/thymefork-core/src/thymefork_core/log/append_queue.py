"""Group commit to one stream: one record in flight, many entries a record."""

from collections.abc import Callable

from attrs import Factory, define, evolve, frozen

__all__ = ["AppendQueue", "Batch"]

MAX_ENTRIES = 256


@frozen(kw_only=True)
class Batch:
    """Hold one record on its way; the same id is kept on a resend."""

    record_id: str
    author: str
    entries: tuple
    began_mono_ms: int
    sends: int = 1


@define(kw_only=True)
class AppendQueue:
    """Collect entries, send one record at a time and resolve lost answers.

    An append whose answer is lost is looked for in the log first; the record is
    sent again, with the same id, only after a read that began later has not found
    it. A second copy is harmless: the folds count the first one only.
    """

    author: str
    most_entries: int = MAX_ENTRIES
    name_record: Callable | None = None
    pending: list = Factory(list)
    in_flight: Batch | None = None
    unresolved_since_mono_ms: int | None = None
    not_before_mono_ms: int = 0
    _count: int = 0

    def add(self, entry):
        """Queue an entry for the next record."""
        self.pending.append(entry)

    def next_batch(self, mono_ms):
        """Return the record to send now, or None."""
        if self.in_flight or not self.pending or mono_ms < self.not_before_mono_ms:
            return None
        entries = tuple(self.pending[: self.most_entries])
        del self.pending[: self.most_entries]
        self.in_flight = Batch(
            record_id=self._name(entries),
            author=self.author,
            entries=entries,
            began_mono_ms=mono_ms,
        )
        return self.in_flight

    def _name(self, entries):
        if self.name_record is not None:
            return self.name_record(entries)
        self._count += 1
        return f"{self.author}:{self._count}"

    def acknowledged(self, record_id):
        """Settle the record in flight; return it if this was its answer."""
        batch = self.in_flight
        if batch is None or batch.record_id != record_id:
            return None
        self.in_flight = None
        self.unresolved_since_mono_ms = None
        return batch

    def refused(self, record_id, mono_ms, backoff_ms):
        """Put entries back whose record surely did not land."""
        batch = self.in_flight
        if batch is None or batch.record_id != record_id:
            return None
        if batch.sends > 1:
            self.unresolved_since_mono_ms = mono_ms
            return None
        self.in_flight = None
        self.pending[:0] = batch.entries
        self.not_before_mono_ms = mono_ms + backoff_ms
        return batch

    def lost_answer(self, record_id, mono_ms):
        """Note that the record may or may not have landed."""
        if self.in_flight and self.in_flight.record_id == record_id:
            self.unresolved_since_mono_ms = mono_ms

    def not_found(self, read_began_mono_ms):
        """Return the record to send again, after a read that did not find it."""
        since_ms = self.unresolved_since_mono_ms
        if since_ms is None or read_began_mono_ms < since_ms:
            return None
        self.unresolved_since_mono_ms = None
        self.in_flight = evolve(self.in_flight, sends=self.in_flight.sends + 1)
        return self.in_flight

    def withdraw(self, wanted):
        """Take back entries that were never sent; return them."""
        taken = [entry for entry in self.pending if wanted(entry)]
        self.pending = [entry for entry in self.pending if not wanted(entry)]
        return taken

    def holds(self, wanted):
        """Tell whether a queued or sent entry is a wanted one."""
        sent = self.in_flight.entries if self.in_flight else ()
        return any(map(wanted, self.pending)) or any(map(wanted, sent))
