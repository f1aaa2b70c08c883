"""What the platform's list says of one life of a worker."""

from attrs import frozen

__all__ = ["WorkerEntry"]


@frozen(kw_only=True)
class WorkerEntry:
    """Describe a worker.

    Units: thousandths of a core, megabytes, milliseconds. `leaves_in_ms` is the
    least time left of a draining worker, 0 where it is not known. `born_epoch_ms` is
    when this life began, since 1970, 0 from a worker that does not tell. An entry that
    `is_lapsed` went while the store was away: the worker may live, but how much room it
    has now is not known.
    """

    worker_id: str
    machine_id: str
    host: str
    port: int
    service: str
    hall: str
    rack: str = ""
    labels: frozenset[str] = frozenset()
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    draining: bool = False
    leaves_in_ms: int = 0
    born_epoch_ms: int = 0
    is_lapsed: bool = False

    @property
    def incarnation(self):
        """Return what tells this life from all others."""
        return (self.worker_id, self.born_epoch_ms)
