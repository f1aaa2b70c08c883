"""Queue of records to store and of effects that have to wait for them."""

import time
from math import inf

from attrs import define, evolve, field, frozen

from ..effects import EndsStored, Reply
from ..specs import RecordLimits
from ..state import JobState
from .codec import (
    JOB_KEY,
    PROGRESS_KEY,
    encode_divided_progress,
    encode_job,
    encode_part,
    encode_progress,
    is_longer,
    part_key,
)
from .progress_layout import MAX_WHOLE_BYTES, ProgressLayout
from .set_aside import SetAsideChanges

__all__ = ["PROBE_KEY", "WHOLE", "Batch", "Journal"]

# Larger appends would make others wait; the store may take less.
MAX_BATCH_BYTES = 1_000_000
# What a record takes in an append beside its key and value: two lengths.
RECORD_OVERHEAD_BYTES = 5
# Key of a small record that shows whether the store takes any.
PROBE_KEY = "x"
# In place of a part's number: the job's own record, which holds its state and, while
# that is small, all its progress.
WHOLE = -1


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

    def has_room_for(self, records, room):
        """Return whether it may hold these records as well; an empty one always may."""
        if not self.records:
            return True
        if self.unit_count >= room.max_units:
            return False
        return self.size_bytes + _size_bytes(records) <= room.max_bytes

    def take_replies(self, job_ids):
        """Remove and return the replies about some jobs."""
        taken = [effect for effect in self.effects if _is_reply_about(effect, job_ids)]
        self.effects = [effect for effect in self.effects if effect not in taken]
        return taken


@frozen(kw_only=True)
class _Room:
    """Limit what a batch holds."""

    max_bytes: int
    max_units: float


@frozen(kw_only=True, eq=False)
class _PendingChange:
    """Hold a job of which a part has to be stored, and the change's sequence number."""

    job: object
    part: int
    number: int

    @property
    def key(self):
        return (self.job.job_id, self.part)


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
        self._context = context
        self._new_jobs = {}
        self._changes = {}  # by job id and part
        self._layouts = {}  # of jobs with divided progress, by job id
        self._set_aside = SetAsideChanges()
        self._max_units = inf
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
        """Store a job's state; a pending change keeps its position."""
        self._add_change(job, WHOLE)

    def mark_task_changed(self, task):
        """Store a task's progress; a pending change keeps its position."""
        job = task.step.job
        layout = self._layouts.get(job.job_id)
        self._add_change(job, WHOLE if layout is None else layout.part_of(task))

    def _add_change(self, job, part):
        self.is_urgent = self.is_urgent or not job.is_live
        key = (job.job_id, part)
        if key in self._set_aside and not job.is_over:
            return  # it is offered again with what is known then
        waiting = self._set_aside.pop(key)
        if key not in self._changes:
            self._last_number += 1
            change = _PendingChange(job=job, part=part, number=self._last_number)
            self._changes[change.key] = change
        for effect in waiting:
            self.after(effect)

    def load_layout(self, job, tasks_per_part, stored_parts):
        """Go on with the division of a stored job's progress."""
        self._layouts[job.job_id] = ProgressLayout(
            job=job,
            tasks_per_part=tasks_per_part,
            stored_parts=set(stored_parts),
            is_in_force=True,
        )

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
            self._discard_changes(job_id)
            self._new_jobs.pop(job_id, None)

    def _discard_changes(self, job_id):
        layout = self._layouts.pop(job_id, None)
        for part in (WHOLE, *(layout.parts if layout is not None else ())):
            self._changes.pop((job_id, part), None)
            self._set_aside.pop((job_id, part))

    def put_back(self, batch):
        """Requeue a failed batch's remaining jobs and effects, before all others.

        Several batches have to be put back in reverse order. Jobs are then stored with
        their latest state.
        """
        number = batch.last_number
        self._new_jobs |= {job.job_id: job for job in batch.new_jobs}
        self._requeue(
            _PendingChange(job=job, part=part, number=number)
            for job, part in batch.changes
        )
        for job, part in batch.changes:
            if part == WHOLE and job.job_id in self._layouts:
                self._layouts[job.job_id].is_in_force = False
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

    def leave_out_checkpoints(self, batch):
        """Store the parts of a batch's job without checkpoints from now on.

        Return whether that may help.
        """
        job, part = batch.changes[0]
        layout = self._layouts.get(job.job_id)
        if layout is None or part == WHOLE or not layout.keeps_checkpoints:
            return False
        layout.keeps_checkpoints = False
        return any(task.checkpoint for task in layout.tasks_of(part))

    def set_aside(self, batch, now_ms):
        """Go on without the change of a batch that was put back."""
        job, part = batch.changes[0]
        self._set_aside.add(self._changes.pop((job.job_id, part)), now_ms)

    def put_probe(self):
        """Let the next batch show whether the store takes anything."""
        probe = {PROBE_KEY: str(self._last_number).encode()}
        self._other_records = probe | self._other_records
        self._max_units = 1
        self.is_urgent = True

    def on_stored(self, batch):
        """Take up what a stored batch shows about refused records."""
        if PROBE_KEY in batch.other_records:
            self._max_units = inf
            self._set_aside.confirm()
        elif batch.records and batch.unit_count < self._max_units:
            self._max_units = inf  # nothing that waited was to blame alone

    def offer_all_again(self):
        """Requeue what was refused: the store takes nothing at all."""
        self._max_units = inf
        self._requeue(self._set_aside.take_unconfirmed())
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

    def _requeue(self, changes):
        """Put changes before all others, in this order."""
        first = {change.key: change for change in changes}
        later = {key: row for key, row in self._changes.items() if key not in first}
        self._changes = first | later

    def take(self, now_ms):
        """Return the next batch of pending records."""
        batch = Batch(last_number=self._last_sent_number)
        self.is_urgent = False
        room = _Room(
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
            batch.add(key, value)
            batch.unit_count += 1
            batch.other_records[key] = self._other_records.pop(key)
        while self._dropped_keys:
            if not batch.has_room_for([(self._dropped_keys[0], b"")], room):
                return
            key = self._dropped_keys.pop(0)
            batch.add(key, b"")
            batch.unit_count += 1
            batch.dropped_keys.append(key)

    def _take_changes(self, batch, room, now_ms):
        """Move as many changes of jobs as fit into a batch, in their order."""
        epoch_ms = time.time() * 1000.0
        while self._changes:
            change = next(iter(self._changes.values()))
            records = self._records_of(change, epoch_ms, now_ms)
            if records is None:
                continue
            if not batch.has_room_for(records, room):
                return
            self._put(batch, change, records)
            batch.unit_count += 1

    def _put(self, batch, change, records):
        """Move a change with its records into a batch."""
        job, layout = change.job, self._layouts.get(change.job.job_id)
        batch.last_number = change.number
        for key, value in records:
            batch.add(key, value)
        if self._new_jobs.pop(job.job_id, None) is not None:
            batch.new_jobs.append(job)
            if len(records) == 1 and job.has_started:
                return  # its progress is large and goes next
        del self._changes[change.key]
        if layout is not None and change.part == WHOLE:
            layout.is_in_force = True
        elif layout is not None:
            layout.stored_parts.add(change.part)
        if job.is_over and layout is not None:
            for part in layout.parts:
                self._changes.pop((job.job_id, part), None)
                self._set_aside.pop((job.job_id, part))
        batch.changes.append((job, change.part))
        if change.part == WHOLE:
            batch.job_states.append((job, job.state))

    # Records of jobs ----------------------------------------------------------

    def _records_of(self, change, epoch_ms, now_ms):
        """Return the records of a change, None if others have to go before it."""
        job, is_new = change.job, change.job.job_id in self._new_jobs
        layout = self._layouts.get(job.job_id)
        if job.is_over:
            return self._records_of_ended(change, layout, is_new=is_new)
        if change.part != WHOLE:
            return [self._part_record(layout, change.part)]
        records = []
        if is_new:
            value = encode_job(job, epoch_ms=epoch_ms, now_ms=now_ms)
            records.append((JOB_KEY + job.job_id, value))
        if layout is None and (job.state is not JobState.QUEUED or job.has_started):
            progress = encode_progress(job)
            if len(progress) <= MAX_WHOLE_BYTES:
                records.append((PROGRESS_KEY + job.job_id, progress))
            elif not is_new:
                layout = self._divide(job)
        if layout is not None:
            if self._parts_go_first(change, layout):
                return None
            progress = encode_divided_progress(job, layout.tasks_per_part)
            records.append((PROGRESS_KEY + job.job_id, progress))
        return records

    def _records_of_ended(self, change, layout, *, is_new):
        """Return the record with an ended job's state, and delete its other records.

        Its spec and its parts would be most of what the next owner has to read. They
        have to go with the same append: without them, a job that had not ended would
        be lost or start anew.
        """
        job = change.job
        if change.part != WHOLE:
            self._requeue([evolve(change, part=WHOLE)])
            self._changes.pop(change.key)
            return None
        records = [(PROGRESS_KEY + job.job_id, encode_progress(job))]
        if not is_new:
            records.append((JOB_KEY + job.job_id, b""))
        for part in sorted(layout.stored_parts) if layout is not None else ():
            records.append((part_key(job.job_id, part), b""))
        return records

    def _divide(self, job):
        """Divide the progress of a job that has grown large."""
        layout = self._layouts[job.job_id] = ProgressLayout(job=job)
        for part in layout.parts:
            if any(task.run_count or task.done for task in layout.tasks_of(part)):
                self._add_change(job, part)
        return layout

    def _parts_go_first(self, change, layout):
        """Put the parts of a newly divided job before its own record, if any wait.

        That record says that they hold. The parts take its number, so that what waits
        for the change waits for all of them.
        """
        if layout.is_in_force:
            return False
        parts = [row for row in self._changes.values() if row.job is change.job]
        parts.remove(change)
        if not parts:
            return False
        first = [evolve(row, number=change.number) for row in parts]
        self._requeue([*first, change])
        return True

    def _part_record(self, layout, part):
        """Return the record of a part; it holds no checkpoints that are too long."""
        tasks = layout.tasks_of(part)
        max_bytes = layout.max_checkpoint_bytes(self._limits)
        too_long = [task for task in tasks if is_longer(task.checkpoint, max_bytes)]
        if too_long:
            self._note_long_checkpoints(too_long, max_bytes)
        return part_key(layout.job.job_id, part), encode_part(tasks, max_bytes)

    def _note_long_checkpoints(self, tasks, max_bytes):
        """Tell of checkpoints that the next owner will not know."""
        self._context.count("checkpoints", "not_stored", len(tasks))
        self._context.note(
            "checkpoints_not_stored",
            level="WARNING",
            job=tasks[0].step.job.job_id,
            task=tasks[0].name,
            tasks=len(tasks),
            characters=len(tasks[0].checkpoint),
            max_bytes=max_bytes,
        )

    def _release_effects(self, batch):
        """Move the effects that only wait for this batch, or earlier ones, into it."""
        if self._other_records or self._dropped_keys:
            self.is_urgent = True
            return  # they may wait for any of these
        first_unsent_number = self._set_aside.first_unconfirmed_number
        if self._changes:
            self.is_urgent = True
            first_change = next(iter(self._changes.values()))
            first_unsent_number = min(first_unsent_number, first_change.number)
        batch.effects = [
            row.effect
            for row in self._pending_effects
            if row.number < first_unsent_number
            and not self._set_aside.hold(row.effect, row.number)
        ]
        self._pending_effects = [
            row for row in self._pending_effects if row.number >= first_unsent_number
        ]


def _size_bytes(records):
    """Return what records take in an append."""
    return sum(
        len(key.encode()) + len(value) + RECORD_OVERHEAD_BYTES for key, value in records
    )


def _is_reply_about(effect, job_ids):
    return isinstance(effect, Reply) and effect.job_id in job_ids
