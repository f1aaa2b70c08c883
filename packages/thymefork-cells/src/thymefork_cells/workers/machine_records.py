"""Store on which machines the workers of runs are, for the next owners of the cell.

A machine runs one worker at a time. A next owner that finds another worker on the
machine knows that the runs of the one before are over, without waiting for its leases.
"""

from attrs import evolve

__all__ = ["MACHINE_KEY", "MachineRecords"]

MACHINE_KEY = "m"


class MachineRecords:
    """Keep and store the machine of each worker that was given a run."""

    def __init__(self, *, context):
        self._context = context
        self._stored_worker_ids = set()

    def add(self, worker):
        """Store a worker's machine before its first run starts."""
        machine_id = worker.entry.machine_id
        if not machine_id or worker.worker_id in self._stored_worker_ids:
            return
        self._stored_worker_ids.add(worker.worker_id)
        self._context.journal.put(MACHINE_KEY + worker.worker_id, machine_id.encode())

    def load(self, records):
        """Complete the placeholders of workers that have runs by their machines."""
        for key, value in records.items():
            if not key.startswith(MACHINE_KEY):
                continue
            worker_id = key.removeprefix(MACHINE_KEY)
            self._stored_worker_ids.add(worker_id)
            worker = self._context.workers.get(worker_id)
            if worker is not None and not worker.entry.machine_id:
                worker.entry = evolve(worker.entry, machine_id=value.decode())

    def review(self):
        """Drop the records of workers that are gone."""
        for worker_id in self._stored_worker_ids - self._context.workers.keys():
            self._stored_worker_ids.discard(worker_id)
            self._context.journal.put(MACHINE_KEY + worker_id, b"")
