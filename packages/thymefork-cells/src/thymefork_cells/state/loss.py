"""A worker that was lost under a task."""

from attrs import frozen

__all__ = ["Loss"]


@frozen(kw_only=True)
class Loss:
    """Hold what is known of a worker that was lost while it may have run a task.

    `after_ms` is for how long at most the run had been at work, 0 if that is not known.
    The worker's life is over for certain, or it is merely silent.
    """

    worker_id: str
    after_ms: int
    is_certain: bool
