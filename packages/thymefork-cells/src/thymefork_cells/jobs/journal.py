"""Queue of records to store and of effects that have to wait for them."""

import time
from math import inf

from attrs import evolve, frozen

from ..effects import EndsStored
from ..specs import RecordLimits
from .batch import Batch, Room, is_reply_about
from .change_queue import ChangeQueue, PendingChange
from .codec import JOB_KEY, PROGRESS_KEY
from .job_records import WHOLE, JobRecords
from .set_aside import SetAsideChanges

__all__ = ["PROBE_KEY", "Batch", "Journal"]

# Larger appends would make others wait; the store may take less.
MAX_BATCH_BYTES = 1_000_000
# Key of a small record that shows whether the store takes any.
PROBE_KEY = "x"


@frozen(kw_only=True, eq=False)
class _PendingEffect:
    """Hold an effect until the changes up to a sequence number are stored."""

    effect: object
    number: int


class Journal:
    """Collect changed jobs and split them into batches for the store.

    Several batches may be in flight; each counts as stored only after those before it.
    A job that changes meanwhile is stored again by a later batch. The progress of a
    large job is divided into parts, of which only the changed ones are stored.

    If the changes exceed one append, an effect is released with the batch that stores
    the last change before it, so that callers never learn of a job that may be lost.
    `is_urgent` is set while a caller, a start or an ended job waits for the store.
    """

    def __init__(self, *, limits=None, context=None):
        self._limits = limits or RecordLimits()
        self.job_records = JobRecords(limits=self._limits, context=context)
        self._new_jobs = {}
        self._changes = ChangeQueue()
        self._set_aside = SetAsideChanges()
        self._doubted = None  # a refused batch without jobs, until the probe is taken
        self._max_units = inf
        self._dropped_keys = []
        self._other_records = {}
        self._pending_effects = []
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

    # Changes and effects ------------------------------------------------------

    def add(self, job):
        """Store a new job."""
        self._new_jobs[job.job_id] = job
        self.mark_changed(job)
        self.is_urgent = True

    def mark_changed(self, job):
        """Store a job's state; a pending change keeps its position."""
        self._add_change(job, WHOLE)

    def mark_task_changed(self, task):
        """Store a task's progress; a pending change keeps its position."""
        self._add_change(task.step.job, self.job_records.part_of(task))

    def _add_change(self, job, part):
        self.is_urgent = self.is_urgent or not job.is_live
        key = (job.job_id, part)
        if key in self._set_aside and not job.is_over:
            return  # it is offered again with what is known then
        waiting = self._set_aside.pop(key)
        self._changes.add(job, part)
        for effect in waiting:
            self.after(effect)

    def drop(self, job):
        """Delete the records of a job that is past its retention time."""
        self._discard_changes(job.job_id)
        self.drop_keys([JOB_KEY + job.job_id, PROGRESS_KEY + job.job_id])

    def drop_keys(self, keys):
        """Delete records that nothing refers to any more."""
        self._dropped_keys += keys

    def put(self, key, value):
        """Store a record that is not of a job; an empty value deletes it.

        Such records are stored before those of jobs, since a start may depend on them.
        """
        self._other_records[key] = value

    def after(self, effect):
        """Carry out an effect once everything that is pending now is stored."""
        self.is_urgent = self.is_urgent or not isinstance(effect, EndsStored)
        self._pending_effects.append(
            _PendingEffect(effect=effect, number=self._changes.last_number)
        )

    def take_replies(self, job_ids):
        """Remove and return the pending replies about some jobs."""
        taken = [
            row for row in self._pending_effects if is_reply_about(row.effect, job_ids)
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
            self._discard_changes(job_id)
            self._new_jobs.pop(job_id, None)

    def _discard_changes(self, job_id):
        for key in self.job_records.forget(job_id):
            self._changes.pop(key)
            self._set_aside.pop(key)

    # Failed batches -----------------------------------------------------------

    def put_back(self, batch):
        """Requeue a failed batch's remaining jobs and effects, before all others.

        Several batches have to be put back in reverse order. Jobs are then stored with
        their latest state.
        """
        self._new_jobs |= {job.job_id: job for job in batch.new_jobs}
        requeued = []
        for job, part in batch.changes:
            layout = self.job_records.layout(job)
            if part != WHOLE and layout is None:
                continue  # the job was withdrawn with a later batch
            if part == WHOLE and layout is not None:
                layout.is_in_force = False
            change = PendingChange(job=job, part=part, number=batch.last_number)
            requeued.append(change)
        self._changes.put_first(requeued)
        self._other_records = batch.other_records | self._other_records
        self._dropped_keys = batch.dropped_keys + self._dropped_keys
        self.requeue_effects(batch)

    def requeue_effects(self, batch):
        """Requeue a failed batch's effects alone."""
        self.is_urgent = True
        requeued = [
            _PendingEffect(effect=effect, number=batch.last_number)
            for effect in batch.effects
        ]
        self._pending_effects = requeued + self._pending_effects

    # Refused records ----------------------------------------------------------

    def limit_next(self, max_units):
        """Let the next batches hold no more changes, to find a refused one."""
        self._max_units = max_units

    def set_aside(self, batch, now_ms):
        """Go on without the change of a batch that was put back."""
        job, part = batch.changes[0]
        self._set_aside.add(self._changes.pop((job.job_id, part)), now_ms)

    def doubt(self, batch):
        """Go on without a batch that holds no jobs, unless the store takes nothing."""
        self.requeue_effects(batch)
        batch.effects = []
        self._doubted = batch

    def put_probe(self):
        """Let the next batch show whether the store takes anything."""
        probe = {PROBE_KEY: str(self._changes.last_number).encode()}
        self._other_records = probe | self._other_records
        self._max_units = 1
        self.is_urgent = True

    def on_stored(self, batch):
        """Take up what a stored batch shows about refused records."""
        if PROBE_KEY in batch.other_records:
            self._max_units = inf
            self._doubted = None
            self._set_aside.confirm()
        elif batch.records and batch.unit_count < self._max_units:
            self._max_units = inf  # nothing that waited was to blame alone

    def offer_all_again(self):
        """Requeue what was refused: the store takes nothing at all."""
        self._max_units = inf
        self._changes.put_first(self._set_aside.take_unconfirmed())
        if self._doubted is not None:
            self.put_back(self._doubted)
            self._doubted = None
        self.is_urgent = True

    def take_refused_replies(self):
        """Remove and return the replies that wait for refused records."""
        return self._set_aside.take_replies()

    def offer_due_again(self, now_ms):
        """Requeue the records that were refused a while ago; return how many."""
        due = self._set_aside.take_due(now_ms)
        for change, effects in due:
            self._add_change(change.job, change.part)
            for effect in effects:
                self.after(effect)
        return len(due)

    # Batches ------------------------------------------------------------------

    def take(self, now_ms):
        """Return the next batch of pending records."""
        batch = Batch(last_number=self._last_sent_number)
        self.is_urgent = False
        room = Room(
            max_bytes=min(MAX_BATCH_BYTES, self._limits.max_call_bytes),
            max_units=self._max_units,
        )
        self._take_other_records(batch, room)
        if not self._other_records and not self._dropped_keys:
            self._take_changes(batch, room, now_ms)
        self._last_sent_number = batch.last_number
        self._release_effects(batch)
        return batch

    def _take_other_records(self, batch, room):
        """Move as many records that are not of live jobs as fit into a batch."""
        for key, value in list(self._other_records.items()):
            if not batch.has_room_for([(key, value)], room):
                return
            batch.add_unit([(key, value)])
            batch.other_records[key] = self._other_records.pop(key)
        while self._dropped_keys:
            deletion = (self._dropped_keys[0], b"")
            if not batch.has_room_for([deletion], room):
                return
            batch.add_unit([deletion])
            batch.dropped_keys.append(self._dropped_keys.pop(0))

    def _take_changes(self, batch, room, now_ms):
        """Move as many changes of jobs as fit into a batch, in their order."""
        epoch_ms = time.time() * 1000.0
        while self._changes:
            change = self._changes.first
            records = self._records_of(change, epoch_ms, now_ms)
            if records is None:
                continue
            if not batch.has_room_for(records, room):
                return
            batch.add_unit(records)
            self._move(change, batch, has_progress=len(records) > 1)

    def _records_of(self, change, epoch_ms, now_ms):
        """Return the records of a change, None if others have to go before it."""
        job, is_new = change.job, change.job.job_id in self._new_jobs
        if job.is_over and change.part != WHOLE:
            self._changes.put_first([evolve(change, part=WHOLE)])
            self._changes.pop(change.key)
            return None
        if job.is_over:
            return self.job_records.ended(job, is_new=is_new)
        if change.part != WHOLE:
            return [self.job_records.part(job, change.part)]
        records = []
        if is_new:
            spec = self.job_records.spec(job, epoch_ms=epoch_ms, now_ms=now_ms)
            records.append(spec)
        if not self.job_records.has_progress(job):
            return records
        if self.job_records.layout(job) is None:
            progress = self.job_records.undivided(job)
            if progress is not None:
                return [*records, progress]
            if is_new:
                return records  # its progress goes next
            for part in self.job_records.divide(job):
                self._add_change(job, part)
        is_in_force = self.job_records.layout(job).is_in_force
        if not is_in_force and self._changes.put_parts_first(change):
            return None  # this record says that they hold
        return [*records, self.job_records.divided(job)]

    def _move(self, change, batch, *, has_progress):
        """Move a change, whose records a batch holds now, from the queue there."""
        job, layout = change.job, self.job_records.layout(change.job)
        batch.last_number = change.number
        if change.part == WHOLE and self._new_jobs.pop(job.job_id, None) is not None:
            batch.new_jobs.append(job)
            if not (has_progress or job.is_over) and self.job_records.has_progress(job):
                return  # its progress is large and goes next
        self._changes.pop(change.key)
        if layout is not None:
            self._update_layout(change, layout)
        batch.changes.append((job, change.part))
        if change.part == WHOLE:
            batch.job_states.append((job, job.state))

    def _update_layout(self, change, layout):
        job = change.job
        if change.part == WHOLE:
            layout.is_in_force = True
        else:
            layout.stored_parts.add(change.part)
        if job.is_over:
            for part in layout.parts:
                self._changes.pop((job.job_id, part))
                self._set_aside.pop((job.job_id, part))

    def _release_effects(self, batch):
        """Move the effects that only wait for this batch, or earlier ones, into it."""
        if self._other_records or self._dropped_keys:
            self.is_urgent = True
            return  # they may wait for any of these
        self.is_urgent = bool(self._changes)
        first_unsent_number = min(
            self._changes.first_number, self._set_aside.first_unconfirmed_number
        )
        batch.effects = [
            row.effect
            for row in self._pending_effects
            if row.number < first_unsent_number
            and not self._set_aside.hold(row.effect, row.number)
        ]
        self._pending_effects = [
            row for row in self._pending_effects if row.number >= first_unsent_number
        ]
