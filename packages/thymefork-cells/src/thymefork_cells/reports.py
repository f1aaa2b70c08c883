"""Reports of workers in answer to a poll."""

from attrs import frozen

__all__ = ["EndRow", "HeardEnd", "RunRow", "WorkerReport"]


@frozen(kw_only=True)
class RunRow:
    """A running task in a worker's report.

    Units: `tail_ms` is the tail latency in milliseconds.
    """

    task: str
    run_id: int
    checkpoint: str
    percent: int
    tail_ms: int = 0


@frozen(kw_only=True)
class EndRow:
    """An ended run in a worker's report, with its end number.

    `how` is how the run ended: `done`, `failed`, `stopped`, `lapsed` (its lease
    expired), `alone` (its gang was incomplete) or `broken` (another gang member ended).
    """

    number: int
    task: str
    run_id: int
    how: str
    checkpoint: str


@frozen(kw_only=True)
class HeardEnd:
    """A run end reported by a worker, as passed on to another owner."""

    worker_id: str
    task: str
    run_id: int
    how: str
    checkpoint: str

    @property
    def job_id(self):
        """Return the id of the task's job."""
        return self.task.split(".")[0]


@frozen(kw_only=True)
class WorkerReport:
    """Running and ended runs of a worker.

    Without `has_all_ends` more runs may have ended than it lists: a worker lists its
    oldest ends only, and goes on once these are acknowledged. What it does not name may
    have ended then. `born_epoch_ms` is when its incarnation began, 0 if it does not
    report it.

    Units: `clock_ms` on the worker's clock, `born_epoch_ms` since 1970.
    """

    clock_ms: int
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]
    has_all_ends: bool = True
    born_epoch_ms: int = 0
