"""Store where the workers of the cell are, for its next owners.

A next owner asks a worker at its stored address, also while its entry in the platform's
list has lapsed in a store outage. A machine runs one worker at a time: a next owner
that finds another one on the machine knows that the runs of the one before are over.
"""

import orjson
from attrs import frozen

from ..specs import WorkerEntry

__all__ = ["LOCATION_KEY", "WorkerLocations"]

LOCATION_KEY = "m"


@frozen(kw_only=True)
class _Location:
    """Hold where a worker is.

    Not which incarnation was there: its clock may have been set back since.
    """

    machine_id: str
    host: str
    port: int
    hall: str

    @classmethod
    def of(cls, entry):
        return cls(
            machine_id=entry.machine_id,
            host=entry.host,
            port=entry.port,
            hall=entry.hall,
        )

    def encode(self):
        return orjson.dumps([self.machine_id, self.host, self.port, self.hall])

    @classmethod
    def decode(cls, value):
        """Decode a record; those of earlier releases hold only the machine's id."""
        if not value.startswith(b"["):
            return cls(machine_id=value.decode(), host="", port=0, hall="")
        machine_id, host, port, hall = orjson.loads(value)
        return cls(machine_id=machine_id, host=host, port=port, hall=hall)

    def as_entry(self, worker_id):
        """Return the last known entry of a worker, whose capacity is not known."""
        return WorkerEntry(
            worker_id=worker_id,
            machine_id=self.machine_id,
            host=self.host,
            port=self.port,
            service="",
            hall=self.hall,
            is_lapsed=True,
        )


class WorkerLocations:
    """Keep and store the locations of the workers that this owner knows.

    The next owner needs them all: a quorum of these shows that this one can't go on.
    """

    def __init__(self, *, context):
        self._context = context
        self._stored = {}  # by worker id
        self._entries = {}  # by worker id, those whose location is stored

    def add(self, worker):
        """Store a worker's location before a run starts there, if it is new."""
        if self._entries.get(worker.worker_id) is worker.entry:
            return
        self._entries[worker.worker_id] = worker.entry
        location = _Location.of(worker.entry)
        if self._stored.get(worker.worker_id) == location:
            return
        self._stored[worker.worker_id] = location
        key = LOCATION_KEY + worker.worker_id
        self._context.journal.put(key, location.encode())

    def load(self, records, registry, now_ms):
        """Add the workers that the previous owner knew, or complete their entries."""
        for key, value in records.items():
            if not key.startswith(LOCATION_KEY):
                continue
            worker_id = key.removeprefix(LOCATION_KEY)
            location = self._stored[worker_id] = _Location.decode(value)
            registry.add_unlisted(location.as_entry(worker_id), now_ms=now_ms)

    def on_stored(self, records):
        """Count the workers whose records were stored for this owner's quorum."""
        for key, value in records.items():
            worker = self._context.workers.get(key.removeprefix(LOCATION_KEY))
            if key.startswith(LOCATION_KEY) and value and worker is not None:
                worker.is_recorded = True

    def review(self):
        """Store the locations of new workers, and drop those of workers that are gone.

        Without an address, nobody could ask the worker.
        """
        for worker in self._context.workers.values():
            if worker.is_listed and worker.entry.host:
                self.add(worker)
        for worker_id in self._stored.keys() - self._context.workers.keys():
            del self._stored[worker_id]
            self._entries.pop(worker_id, None)
            self._context.journal.put(LOCATION_KEY + worker_id, b"")
