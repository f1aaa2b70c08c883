"""Entry of the platform's worker list."""

from attrs import frozen

__all__ = ["WorkerEntry"]


@frozen(kw_only=True)
class WorkerEntry:
    """Describe one incarnation of a worker.

    `leaves_in_ms` is the minimum time left of a draining worker, 0 if unknown.
    `born_epoch_ms` is when the incarnation began, since 1970, 0 if the worker does not
    report it. An entry that `is_lapsed` disappeared while the store was unavailable:
    the worker may be alive, but its present capacity is unknown.

    Units: thousandths of a core, megabytes, milliseconds.
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
        """Return the identifier of this incarnation."""
        return (self.worker_id, self.born_epoch_ms)
