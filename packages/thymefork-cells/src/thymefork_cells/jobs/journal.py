"""Records that wait to be stored, and what may happen only afterwards."""

import time

from attrs import define, field, frozen

from ..effects import EndsStored, Reply
from ..state import JobState
from .codec import JOB_KEY, PROGRESS_KEY, encode_progress, store_job

__all__ = ["Batch", "Journal"]

# One append carries at most this much; the store takes 2 MB a call.
MAX_BATCH_BYTES = 1_000_000


@define(kw_only=True, eq=False)
class Batch:
    """Hold the records of one append and the effects that follow it.

    `last_number` is the number of the last change that is in it or before it, `others`
    what it holds beside jobs, by key.
    """

    records: list = field(factory=list)
    others: dict = field(factory=dict)
    effects: list = field(factory=list)
    new_jobs: list = field(factory=list)
    job_states: list = field(factory=list)
    size_bytes: int = 0
    last_number: int = 0

    def add(self, key, value):
        """Add a record; an empty value drops the key."""
        self.records.append((key, value))
        self.size_bytes += len(key) + len(value) + 5

    def take_replies(self, job_ids):
        """Return the replies that were to tell of some jobs, and drop them."""
        taken = [effect for effect in self.effects if _tells_of(effect, job_ids)]
        self.effects = [effect for effect in self.effects if effect not in taken]
        return taken


@frozen(kw_only=True, eq=False)
class _Change:
    """Hold a job that is to be stored; changes are numbered in their order."""

    job: object
    number: int


@frozen(kw_only=True, eq=False)
class _Held:
    """Hold an effect until the changes up to a number are stored."""

    effect: object
    number: int


class Journal:
    """Collect changed jobs until the store can take them.

    Several batches may be under way; each is taken as stored only after those before
    it. A job that changes meanwhile waits again, so that a later batch supersedes.

    Where more waits than one append carries, an effect leaves with the one that stores
    the last change before it: sent with the first, it would tell callers of jobs that a
    power cut may still lose.
    `is_urgent` tells whether somebody waits: a caller, a start or a job that has ended.
    The end of a task beside which others of its step still run hurries nobody.
    """

    def __init__(self):
        self._new_jobs = {}
        self._changes = {}
        self._dropped_keys = []
        self._others = {}
        self._held = []
        self._last_number = 0
        self._taken_number = 0
        self.is_urgent = False

    @property
    def is_empty(self):
        """Tell whether nothing waits."""
        waiting = (self._changes, self._dropped_keys, self._others, self._held)
        return not any(waiting)

    def add(self, job):
        """Store a job that is new."""
        self._new_jobs[job.job_id] = job
        self.mark_changed(job)
        self.is_urgent = True

    def mark_changed(self, job):
        """Store a job's progress; it keeps its place where it waits already."""
        self.is_urgent = self.is_urgent or not job.is_live
        if job.job_id not in self._changes:
            self._last_number += 1
            self._changes[job.job_id] = _Change(job=job, number=self._last_number)

    def drop(self, job):
        """Forget a job whose state need not be told any more."""
        self._changes.pop(job.job_id, None)
        self._dropped_keys += [JOB_KEY + job.job_id, PROGRESS_KEY + job.job_id]

    def put(self, key, value):
        """Store a record that is no job's with the next append, or drop it if empty.

        Such records go first: a start may rest on one, so a successor has to know of
        it once it knows of the run.
        """
        self._others[key] = value

    def after(self, effect):
        """Carry an effect out once all that waits now is stored."""
        self.is_urgent = self.is_urgent or not isinstance(effect, EndsStored)
        self._held.append(_Held(effect=effect, number=self._last_number))

    def take_replies(self, job_ids):
        """Return the replies that wait to tell of some jobs, and drop them."""
        taken = [row for row in self._held if _tells_of(row.effect, job_ids)]
        self._held = [row for row in self._held if row not in taken]
        return [row.effect for row in taken]

    def is_unsent(self, job_id):
        """Tell whether a job is new and no append has held it."""
        return job_id in self._new_jobs

    def take_replies_of_unsent(self):
        """Return the replies about new jobs that no append has held, and drop them."""
        return self.take_replies(set(self._new_jobs))

    def forget(self, job_ids):
        """Drop what waits of jobs that were withdrawn."""
        for job_id in job_ids:
            self._changes.pop(job_id, None)
            self._new_jobs.pop(job_id, None)

    def put_back(self, batch):
        """Let a batch's remaining jobs and effects wait again, before all others.

        Of several, the last comes first. What is stored of a job then is its newest.
        """
        self.is_urgent = True
        number = batch.last_number
        again = {
            job.job_id: _Change(job=job, number=number) for job, _ in batch.job_states
        }
        later = {key: row for key, row in self._changes.items() if key not in again}
        self._changes = again | later
        self._others = batch.others | self._others
        dropped = [
            key for key, value in batch.records if not value and key not in batch.others
        ]
        self._dropped_keys = dropped + self._dropped_keys
        held = [_Held(effect=effect, number=number) for effect in batch.effects]
        self._held = held + self._held

    def take(self, now_ms):
        """Return what waits as one batch."""
        batch = Batch(last_number=self._taken_number)
        self.is_urgent = False
        batch.others, self._others = self._others, {}
        for key, value in batch.others.items():
            batch.add(key, value)
        for key in self._dropped_keys:
            batch.add(key, b"")
        self._dropped_keys = []
        epoch_ms = time.time() * 1000.0
        while self._changes and batch.size_bytes <= MAX_BATCH_BYTES:
            mark_changed = self._changes.pop(next(iter(self._changes)))
            batch.last_number = mark_changed.number
            self._put(batch, mark_changed.job, epoch_ms, now_ms)
        self._taken_number = batch.last_number
        self._release_effects(batch)
        return batch

    def _put(self, batch, job, epoch_ms, now_ms):
        is_new = self._new_jobs.pop(job.job_id, None) is not None
        if is_new:
            batch.new_jobs.append(job)
        if job.is_over:
            self._drop_description(batch, job, was_stored=not is_new)
        elif is_new:
            value = store_job(job, epoch_ms=epoch_ms, now_ms=now_ms)
            batch.add(JOB_KEY + job.job_id, value)
        if job.state is not JobState.QUEUED or job.has_started:
            batch.add(PROGRESS_KEY + job.job_id, encode_progress(job))
        batch.job_states.append((job, job.state))

    @staticmethod
    def _drop_description(batch, job, *, was_stored):
        """Drop the description of a job that is over: its progress tells its state.

        Descriptions are most of what a successor reads, and most jobs have ended.
        """
        if was_stored:
            batch.add(JOB_KEY + job.job_id, b"")

    def _release_effects(self, batch):
        """Give a batch the effects before which nothing else has to be stored."""
        if not self._changes:
            batch.effects = [held.effect for held in self._held]
            self._held = []
            return
        self.is_urgent = True
        first_left = next(iter(self._changes.values())).number
        batch.effects = [row.effect for row in self._held if row.number < first_left]
        self._held = [row for row in self._held if row.number >= first_left]


def _tells_of(effect, job_ids):
    return isinstance(effect, Reply) and effect.job_id in job_ids
