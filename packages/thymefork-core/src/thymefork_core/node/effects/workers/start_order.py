"""StartOrder: hold what a worker needs to start an attempt."""

from attrs import frozen

__all__ = ["StartOrder"]


@frozen(kw_only=True)
class StartOrder:
    """Hold what a worker needs to start an attempt."""

    attempt_id: str
    cpu_milli: int
    memory_mb: int
    accelerators: int
    run_ms: int
    payload: str
