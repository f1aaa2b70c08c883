"""Records of one append."""

from attrs import define, field, frozen

from ..effects import Reply

__all__ = ["Batch", "Room", "is_reply_about"]

# What a record takes in an append beside its key and value: two lengths.
RECORD_OVERHEAD_BYTES = 5


@frozen(kw_only=True)
class Room:
    """Limit the size of a batch and the number of independent changes in it."""

    max_bytes: int
    max_units: float


@define(kw_only=True, eq=False)
class Batch:
    """Hold the records of one append and the effects to carry out once it is stored.

    `last_number` is the number of the last change that this or an earlier batch holds,
    `other_records` maps keys to the records that are not of jobs, `dropped_keys` are
    those of forgotten jobs. `changes` lists each job with the part that is stored, and
    `job_states` with the state that is. `unit_count` is how many independent changes it
    holds.
    """

    records: list = field(factory=list)
    other_records: dict = field(factory=dict)
    dropped_keys: list = field(factory=list)
    effects: list = field(factory=list)
    new_jobs: list = field(factory=list)
    changes: list = field(factory=list)
    job_states: list = field(factory=list)
    size_bytes: int = 0
    unit_count: int = 0
    last_number: int = 0

    def add(self, key, value):
        """Add a record; an empty value deletes the key."""
        self.records.append((key, value))
        self.size_bytes += _size_bytes([(key, value)])

    def add_unit(self, records):
        """Add the records of one change."""
        self.unit_count += 1
        for key, value in records:
            self.add(key, value)

    def has_room_for(self, records, room):
        """Return whether it may hold these records as well; an empty one always may."""
        if not self.records:
            return True
        if self.unit_count >= room.max_units:
            return False
        return self.size_bytes + _size_bytes(records) <= room.max_bytes

    def take_replies(self, job_ids):
        """Remove and return the replies about some jobs."""
        taken = [effect for effect in self.effects if is_reply_about(effect, job_ids)]
        self.effects = [effect for effect in self.effects if effect not in taken]
        return taken


def is_reply_about(effect, job_ids):
    """Return whether an effect is a reply about one of some jobs."""
    return isinstance(effect, Reply) and effect.job_id in job_ids


def _size_bytes(records):
    """Return what records take in an append."""
    return sum(
        len(key.encode()) + len(value) + RECORD_OVERHEAD_BYTES for key, value in records
    )
