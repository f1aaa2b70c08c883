"""StartsAnswered: tell that a worker took starts."""

from attrs import frozen

__all__ = ["StartsAnswered"]


@frozen(kw_only=True)
class StartsAnswered:
    """Tell that a worker took starts.

    Units: `started_at_ms` is on the worker's clock.
    """

    worker: str
    attempt_ids: tuple[str, ...]
    started_at_ms: int
