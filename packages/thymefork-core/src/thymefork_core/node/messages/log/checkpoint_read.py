"""CheckpointRead: bring the newest checkpoints, or None where the log has none."""

from attrs import frozen

__all__ = ["CheckpointRead"]


@frozen(kw_only=True)
class CheckpointRead:
    """Bring the newest checkpoints, or None where the log has none."""

    hall: object
    accepted: object
