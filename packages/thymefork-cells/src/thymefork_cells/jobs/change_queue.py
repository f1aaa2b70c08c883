"""Changes of jobs that wait to be stored, in their order."""

from math import inf

from attrs import evolve, frozen

__all__ = ["ChangeQueue", "PendingChange"]


@frozen(kw_only=True, eq=False)
class PendingChange:
    """Hold a job of which a part has to be stored, and the change's sequence number."""

    job: object
    part: int
    number: int

    @property
    def key(self):
        """Return the job's id and the part."""
        return (self.job.job_id, self.part)


class ChangeQueue:
    """Queue the changed parts of jobs, each at most once, by their numbers."""

    def __init__(self):
        self._changes = {}  # by job id and part
        self.last_number = 0

    def __bool__(self):
        return bool(self._changes)

    @property
    def first(self):
        """Return the change that is to be stored next."""
        return next(iter(self._changes.values()))

    @property
    def first_number(self):
        """Return the lowest number that waits, infinity if none does."""
        return self.first.number if self._changes else inf

    def add(self, job, part):
        """Add a change as the last one; one that waits keeps its position."""
        if (job.job_id, part) not in self._changes:
            self.last_number += 1
            change = PendingChange(job=job, part=part, number=self.last_number)
            self._changes[change.key] = change

    def pop(self, key):
        """Remove and return a change, None if it does not wait."""
        return self._changes.pop(key, None)

    def put_first(self, changes):
        """Put changes before all others, in this order."""
        first = {change.key: change for change in changes}
        later = {key: row for key, row in self._changes.items() if key not in first}
        self._changes = first | later

    def put_parts_first(self, change):
        """Put the other parts of the first change's job before it, if any wait.

        They take its number, so that what waits for the change waits for all of them.
        Return whether there are any.
        """
        parts = [
            row
            for row in self._changes.values()
            if row.job is change.job and row is not change
        ]
        if parts:
            first = [evolve(row, number=change.number) for row in parts]
            self.put_first([*first, change])
        return bool(parts)
