"""AttemptLine: hold an attempt that may be running."""

from attrs import frozen

__all__ = ["AttemptLine"]


@frozen(kw_only=True)
class AttemptLine:
    """Hold an attempt that may be running."""

    attempt_id: str
    worker: str
    owner: str
