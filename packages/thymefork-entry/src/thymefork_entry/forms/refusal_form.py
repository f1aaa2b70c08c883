"""RefusalForm: tell why a lookup was not run, and when to come back."""

from attrs import frozen

__all__ = ["RefusalForm"]


@frozen(kw_only=True)
class RefusalForm:
    """Tell why a lookup was not run, and when to come back."""

    outcome: str
    reason: str
    come_back_at_ms: int = 0
