"""AttemptReport: hold what a worker says of an attempt that ended there."""

from attrs import frozen

__all__ = ["AttemptReport"]


@frozen(kw_only=True)
class AttemptReport:
    """Hold what a worker says of an attempt that ended there."""

    attempt_id: str
    exit_code: int
    stopped: bool
