"""Records that wait to be stored, and what may happen only afterwards."""

import time

from attrs import define, field

from .codec import JOB_KEY, PROGRESS_KEY, encode_progress, store_job
from .effects import EndsStored
from .state import JobState

__all__ = ["Batch", "Journal"]

# One append carries at most this much; the store takes 2 MB a call.
MOST_BATCH_BYTES = 1_000_000


@define(kw_only=True, eq=False)
class Batch:
    """Hold the records of one append and the effects that follow it."""

    records: list = field(factory=list)
    effects: list = field(factory=list)
    new_jobs: list = field(factory=list)
    shown: list = field(factory=list)
    size_bytes: int = 0

    def add(self, key, value):
        """Add a record; an empty value drops the key."""
        self.records.append((key, value))
        self.size_bytes += len(key) + len(value) + 5


class Journal:
    """Collect changed jobs until the store can take them: one append at a time.

    `is_urgent` tells whether somebody waits: a caller, a start or a job that has ended.
    The end of a task beside which others of its step still run hurries nobody.
    """

    def __init__(self):
        self._new_jobs = {}
        self._changed_jobs = {}
        self._dropped_keys = []
        self._effects = []
        self.is_urgent = False

    @property
    def is_empty(self):
        """Tell whether nothing waits."""
        return not (self._changed_jobs or self._dropped_keys or self._effects)

    def add(self, job):
        """Store a job that is new."""
        self.is_urgent = True
        self._new_jobs[job.job_id] = job
        self._changed_jobs[job.job_id] = job

    def change(self, job):
        """Store a job's progress."""
        self.is_urgent = self.is_urgent or not job.is_live
        self._changed_jobs[job.job_id] = job

    def drop(self, job):
        """Forget a job whose state need not be told any more."""
        self._changed_jobs.pop(job.job_id, None)
        self._dropped_keys += [JOB_KEY + job.job_id, PROGRESS_KEY + job.job_id]

    def after(self, effect):
        """Carry an effect out once all that waits now is stored."""
        self.is_urgent = self.is_urgent or not isinstance(effect, EndsStored)
        self._effects.append(effect)

    def take_effects(self):
        """Return the effects that wait for the next append."""
        effects, self._effects = self._effects, []
        return effects

    def forget(self, job_ids):
        """Drop what waits of jobs that were withdrawn."""
        for job_id in job_ids:
            self._changed_jobs.pop(job_id, None)

    def put_back(self, batch):
        """Let a batch's remaining jobs and effects wait again, before all others."""
        self.is_urgent = True
        for job, _ in batch.shown:
            self._changed_jobs[job.job_id] = job
        dropped = [key for key, value in batch.records if not value]
        self._dropped_keys = dropped + self._dropped_keys
        self._effects = batch.effects + self._effects

    def take(self, now_ms):
        """Return what waits as one batch."""
        batch = Batch(effects=self.take_effects())
        self.is_urgent = False
        epoch_ms = time.time() * 1000.0
        for key in self._dropped_keys:
            batch.add(key, b"")
        self._dropped_keys = []
        for job_id, job in list(self._changed_jobs.items()):
            if batch.size_bytes > MOST_BATCH_BYTES:
                self.is_urgent = True
                break
            del self._changed_jobs[job_id]
            if self._new_jobs.pop(job_id, None) is not None:
                value = store_job(job, epoch_ms=epoch_ms, now_ms=now_ms)
                batch.add(JOB_KEY + job_id, value)
                batch.new_jobs.append(job)
            if job.state is not JobState.QUEUED or job.has_begun:
                batch.add(PROGRESS_KEY + job_id, encode_progress(job))
            batch.shown.append((job, job.state))
        return batch
