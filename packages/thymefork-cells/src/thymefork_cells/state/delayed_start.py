"""The start of a released run that a later incarnation may still carry out."""

from attrs import define

__all__ = ["DelayedStart"]


@define(kw_only=True, eq=False)
class DelayedStart:
    """Describe an unanswered start, and until when it may arrive.

    Units: `until_ms` on the steady clock; `until_epoch_ms`, for the next owner, since
    1970.
    """

    task: object
    run_id: int
    worker_id: str
    until_ms: float = 0.0
    until_epoch_ms: int = 0

    @property
    def key(self):
        """Return the worker's id and the key under which it would report the run."""
        return (self.worker_id, self.task.name, self.run_id)
