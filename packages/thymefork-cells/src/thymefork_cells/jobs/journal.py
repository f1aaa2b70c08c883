"""Queue of records to store and of effects that have to wait for them."""

import time

from attrs import define, field, frozen

from ..effects import EndsStored, Reply
from ..state import JobState
from .codec import JOB_KEY, PROGRESS_KEY, encode_job, encode_progress

__all__ = ["Batch", "Journal"]

# Below the store's limit of 2 MB for each call.
MAX_BATCH_BYTES = 1_000_000


@define(kw_only=True, eq=False)
class Batch:
    """Hold the records of one append and the effects to carry out once it is stored.

    `last_number` is the number of the last change that this or an earlier batch holds,
    `other_records` maps keys to the records that are not of jobs, `job_states` lists
    each job with the state that is stored.
    """

    records: list = field(factory=list)
    other_records: dict = field(factory=dict)
    effects: list = field(factory=list)
    new_jobs: list = field(factory=list)
    job_states: list = field(factory=list)
    size_bytes: int = 0
    last_number: int = 0

    def add(self, key, value):
        """Add a record; an empty value deletes the key."""
        self.records.append((key, value))
        self.size_bytes += len(key) + len(value) + 5

    def take_replies(self, job_ids):
        """Remove and return the replies about some jobs."""
        taken = [effect for effect in self.effects if _is_reply_about(effect, job_ids)]
        self.effects = [effect for effect in self.effects if effect not in taken]
        return taken


@frozen(kw_only=True, eq=False)
class _PendingJob:
    """Hold a job that has to be stored, and the sequence number of its change."""

    job: object
    number: int


@frozen(kw_only=True, eq=False)
class _PendingEffect:
    """Hold an effect until the changes up to a sequence number are stored."""

    effect: object
    number: int


class Journal:
    """Collect changed jobs and split them into batches for the store.

    Several batches may be in flight; each counts as stored only after those before it.
    A job that changes meanwhile is stored again by a later batch.

    If the changes exceed one append, an effect is released with the batch that stores
    the last change before it, so that callers never learn of a job that may be lost.
    `is_urgent` is set while a caller, a start or an ended job waits for the store.
    """

    def __init__(self):
        self._new_jobs = {}
        self._changes = {}
        self._dropped_keys = []
        self._other_records = {}
        self._pending_effects = []
        self._last_number = 0
        self._last_sent_number = 0
        self.is_urgent = False

    @property
    def is_empty(self):
        """Return whether no records or effects are pending."""
        waiting = (
            self._changes,
            self._dropped_keys,
            self._other_records,
            self._pending_effects,
        )
        return not any(waiting)

    def add(self, job):
        """Store a new job."""
        self._new_jobs[job.job_id] = job
        self.mark_changed(job)
        self.is_urgent = True

    def mark_changed(self, job):
        """Store a job's progress; a pending job keeps its position."""
        self.is_urgent = self.is_urgent or not job.is_live
        if job.job_id not in self._changes:
            self._last_number += 1
            self._changes[job.job_id] = _PendingJob(job=job, number=self._last_number)

    def drop(self, job):
        """Delete the records of a job that is past its retention time."""
        self._changes.pop(job.job_id, None)
        self._dropped_keys += [JOB_KEY + job.job_id, PROGRESS_KEY + job.job_id]

    def put(self, key, value):
        """Store a record that is not of a job; an empty value deletes it.

        Such records are stored before those of jobs, since a start may depend on them.
        """
        self._other_records[key] = value

    def after(self, effect):
        """Carry out an effect once everything that is pending now is stored."""
        self.is_urgent = self.is_urgent or not isinstance(effect, EndsStored)
        self._pending_effects.append(
            _PendingEffect(effect=effect, number=self._last_number)
        )

    def take_replies(self, job_ids):
        """Remove and return the pending replies about some jobs."""
        taken = [
            row for row in self._pending_effects if _is_reply_about(row.effect, job_ids)
        ]
        self._pending_effects = [
            row for row in self._pending_effects if row not in taken
        ]
        return [row.effect for row in taken]

    def is_unsent(self, job_id):
        """Return whether a job is new and in no append yet."""
        return job_id in self._new_jobs

    def take_replies_of_unsent(self):
        """Remove and return the replies about new jobs that are in no append yet."""
        return self.take_replies(set(self._new_jobs))

    def forget(self, job_ids):
        """Discard the pending changes of withdrawn jobs."""
        for job_id in job_ids:
            self._changes.pop(job_id, None)
            self._new_jobs.pop(job_id, None)

    def put_back(self, batch):
        """Requeue a failed batch's remaining jobs and effects, before all others.

        Several batches have to be put back in reverse order. Jobs are then stored with
        their latest state.
        """
        self.is_urgent = True
        number = batch.last_number
        requeued_changes = {
            job.job_id: _PendingJob(job=job, number=number)
            for job, _ in batch.job_states
        }
        newer_changes = {
            key: row
            for key, row in self._changes.items()
            if key not in requeued_changes
        }
        self._changes = requeued_changes | newer_changes
        self._other_records = batch.other_records | self._other_records
        dropped = [
            key
            for key, value in batch.records
            if not value and key not in batch.other_records
        ]
        self._dropped_keys = dropped + self._dropped_keys
        requeued = [
            _PendingEffect(effect=effect, number=number) for effect in batch.effects
        ]
        self._pending_effects = requeued + self._pending_effects

    def take(self, now_ms):
        """Return the next batch of pending records."""
        batch = Batch(last_number=self._last_sent_number)
        self.is_urgent = False
        batch.other_records, self._other_records = self._other_records, {}
        for key, value in batch.other_records.items():
            batch.add(key, value)
        for key in self._dropped_keys:
            batch.add(key, b"")
        self._dropped_keys = []
        epoch_ms = time.time() * 1000.0
        while self._changes and batch.size_bytes <= MAX_BATCH_BYTES:
            pending = self._changes.pop(next(iter(self._changes)))
            batch.last_number = pending.number
            self._put(batch, pending.job, epoch_ms, now_ms)
        self._last_sent_number = batch.last_number
        self._release_effects(batch)
        return batch

    def _put(self, batch, job, epoch_ms, now_ms):
        is_new = self._new_jobs.pop(job.job_id, None) is not None
        if is_new:
            batch.new_jobs.append(job)
        if job.is_over:
            self._delete_spec(batch, job, was_stored=not is_new)
        elif is_new:
            value = encode_job(job, epoch_ms=epoch_ms, now_ms=now_ms)
            batch.add(JOB_KEY + job.job_id, value)
        if job.state is not JobState.QUEUED or job.has_started:
            batch.add(PROGRESS_KEY + job.job_id, encode_progress(job))
        batch.job_states.append((job, job.state))

    @staticmethod
    def _delete_spec(batch, job, *, was_stored):
        """Delete the spec of an ended job, whose progress record holds its state.

        Specs of ended jobs would be most of what the next owner has to read.
        """
        if was_stored:
            batch.add(JOB_KEY + job.job_id, b"")

    def _release_effects(self, batch):
        """Move the effects that only wait for this batch, or earlier ones, into it."""
        if not self._changes:
            batch.effects = [pending.effect for pending in self._pending_effects]
            self._pending_effects = []
            return
        self.is_urgent = True
        first_unsent_number = next(iter(self._changes.values())).number
        batch.effects = [
            row.effect
            for row in self._pending_effects
            if row.number < first_unsent_number
        ]
        self._pending_effects = [
            row for row in self._pending_effects if row.number >= first_unsent_number
        ]


def _is_reply_about(effect, job_ids):
    return isinstance(effect, Reply) and effect.job_id in job_ids
