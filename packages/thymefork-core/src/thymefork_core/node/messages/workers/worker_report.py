"""WorkerReport: bring a worker's report."""

from attrs import frozen

from .attempt_report import AttemptReport

__all__ = ["WorkerReport"]


@frozen(kw_only=True)
class WorkerReport:
    """Bring a worker's report.

    Units: `measured_at_ms` is on the worker's clock, milliseconds since the epoch;
    `peak_memory_mb` by attempt lags behind.
    """

    worker: str
    measured_at_ms: int
    running: tuple[str, ...]
    finished: tuple[AttemptReport, ...]
    connections: int
    leaving: bool
    peak_memory_mb: dict[str, int]
