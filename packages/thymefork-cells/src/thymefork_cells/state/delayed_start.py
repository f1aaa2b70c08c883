"""The start of a released run that a later incarnation may still carry out."""

from attrs import define

__all__ = ["BINDING_MS", "MAX_COMMAND_DELAY_MS", "DelayedStart"]

# An unanswered command may be delivered this late, even after newer ones were answered.
MAX_COMMAND_DELAY_MS = 10_000.0
# A task is bound to the worker of its unanswered start for this long; later it only
# prefers that worker. A job that could run has to run something within 3 s.
BINDING_MS = 2_500.0


@define(kw_only=True, eq=False)
class DelayedStart:
    """Describe an unanswered start that may arrive until `arrives_until_ms`.

    While it `is_binding`, until `binds_until_ms` at least, its task may start only on
    the worker that it was sent to, and there only on the same incarnation, which
    `born_epoch_ms` identifies. That is 0 if a previous owner sent it, and it then
    `is_inherited`: all incarnations that this owner knows reject it.

    Units: `*_ms` on the steady clock; `*_epoch_ms` since 1970.
    """

    task: object
    run_id: int
    worker_id: str
    born_epoch_ms: int = 0
    arrives_until_ms: float = 0.0
    binds_until_ms: float = 0.0
    binds_until_epoch_ms: int = 0
    is_binding: bool = True
    is_inherited: bool = False

    @property
    def key(self):
        """Return the worker's id and the key under which it would report the run."""
        return (self.worker_id, self.task.name, self.run_id)
