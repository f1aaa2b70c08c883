"""SendStops: tell a worker to stop attempts, after a checkpoint where asked."""

from attrs import frozen

__all__ = ["SendStops"]


@frozen(kw_only=True)
class SendStops:
    """Tell a worker to stop attempts, after a checkpoint where asked."""

    worker: str
    epoch: int
    attempt_ids: tuple[str, ...]
    checkpoint: bool = False
