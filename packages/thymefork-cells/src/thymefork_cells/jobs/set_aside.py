"""Changes that the store refuses to take, and effects that wait for them."""

from math import inf

from attrs import define, field

from ..effects import Reply, StartRun

__all__ = ["RETRY_INTERVAL_MS", "SetAsideChanges"]

# A refused record is offered again this often: its job may have changed since.
RETRY_INTERVAL_MS = 5_000.0


@define(kw_only=True, eq=False)
class _Row:
    """Hold a refused change and the effects about its job that wait for it.

    It `is_confirmed` once the store has taken another record after it.
    """

    change: object
    retry_due_ms: float
    is_confirmed: bool = False
    waiting: list = field(factory=list)


class SetAsideChanges:
    """Keep refused changes apart, so that those of all other jobs can be stored.

    Until it is certain that the store takes other records, all effects after a refused
    change wait; later only those about its job do. An acknowledged end is not among
    them: its worker would be unable to report those of other jobs.
    """

    def __init__(self):
        self._rows = {}  # by change key

    def __contains__(self, key):
        return key in self._rows

    def add(self, change, now_ms):
        """Set a change aside."""
        self._rows[change.key] = _Row(
            change=change, retry_due_ms=now_ms + RETRY_INTERVAL_MS
        )

    def pop(self, key):
        """Remove a change; return the effects that waited for it."""
        row = self._rows.pop(key, None)
        return row.waiting if row is not None else []

    def confirm(self):
        """Let effects about other jobs go on: the store takes other records."""
        for row in self._rows.values():
            row.is_confirmed = True

    @property
    def first_unconfirmed_number(self):
        """Return the lowest sequence number that effects have to wait for."""
        numbers = (
            row.change.number for row in self._rows.values() if not row.is_confirmed
        )
        return min(numbers, default=inf)

    def hold(self, effect, number):
        """Keep an effect that waits for a refused change; return whether it does."""
        job_id = _job_id_of(effect)
        for row in self._rows.values():
            change = row.change
            if change.job.job_id == job_id and number >= change.number:
                row.waiting.append(effect)
                return True
        return False

    def take_replies(self):
        """Remove and return the replies that wait for refused changes."""
        replies = []
        for row in self._rows.values():
            replies += [effect for effect in row.waiting if isinstance(effect, Reply)]
            row.waiting = [
                effect for effect in row.waiting if not isinstance(effect, Reply)
            ]
        return replies

    def take_unconfirmed(self):
        """Remove and return the changes that were not confirmed to be at fault."""
        changes = [row.change for row in self._rows.values() if not row.is_confirmed]
        for change in changes:
            del self._rows[change.key]
        return changes

    def take_due(self, now_ms):
        """Remove and return changes to offer again, each with the waiting effects."""
        due = [row for row in self._rows.values() if now_ms >= row.retry_due_ms]
        for row in due:
            del self._rows[row.change.key]
        return [(row.change, row.waiting) for row in due]


def _job_id_of(effect):
    """Return the job that an effect needs to be stored, empty if it needs none."""
    if isinstance(effect, StartRun):
        return effect.run.task.step.job.job_id
    return effect.job_id if isinstance(effect, Reply) else ""
