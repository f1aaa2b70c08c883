"""The records that hold a job, and how its progress is divided among them."""

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

__all__ = ["WHOLE", "JobRecords"]

# In place of a part's number: the job's own record, which holds its state and, while
# that is small, all its progress.
WHOLE = -1


class JobRecords:
    """Encode jobs as records, those with large progress in parts."""

    def __init__(self, *, limits, context):
        self._limits = limits
        self._context = context
        self._layouts = {}  # of jobs with divided progress, by job id

    def layout(self, job):
        """Return how a job's progress is divided, or None if it is not."""
        return self._layouts.get(job.job_id)

    def load_layout(self, job, tasks_per_part, stored_parts):
        """Go on with the division of a stored job's progress."""
        self._layouts[job.job_id] = ProgressLayout(
            job=job,
            tasks_per_part=tasks_per_part,
            stored_parts=set(stored_parts),
            is_in_force=True,
        )

    def forget(self, job_id):
        """Forget a job's division; return the keys of all changes that it may have."""
        layout = self._layouts.pop(job_id, None)
        parts = layout.parts if layout is not None else ()
        return [(job_id, part) for part in (WHOLE, *parts)]

    def part_of(self, task):
        """Return the part that holds a task."""
        layout = self.layout(task.step.job)
        return WHOLE if layout is None else layout.part_of(task)

    def divide(self, job):
        """Divide the progress of a job; return the parts that have any."""
        layout = self._layouts[job.job_id] = ProgressLayout(job=job)
        return [
            part
            for part in layout.parts
            if any(task.run_count or task.done for task in layout.tasks_of(part))
        ]

    def leave_out_checkpoints(self, job, part):
        """Keep no checkpoints of a job; return whether that makes a part smaller."""
        layout = self.layout(job)
        if layout is None or part == WHOLE or not layout.keeps_checkpoints:
            return False
        layout.keeps_checkpoints = False
        return any(task.checkpoint for task in layout.tasks_of(part))

    # Records ------------------------------------------------------------------

    @staticmethod
    def spec(job, *, epoch_ms, now_ms):
        """Return the record of an accepted job."""
        value = encode_job(job, epoch_ms=epoch_ms, now_ms=now_ms)
        return JOB_KEY + job.job_id, value

    @staticmethod
    def has_progress(job):
        """Return whether there is more to store of a job than its spec."""
        return job.state is not JobState.QUEUED or job.has_started

    @staticmethod
    def undivided(job):
        """Return the record of all progress of a job, None if that is too large."""
        value = encode_progress(job)
        if len(value) > MAX_WHOLE_BYTES:
            return None
        return PROGRESS_KEY + job.job_id, value

    def divided(self, job):
        """Return the record of a job's state that says that its parts hold."""
        value = encode_divided_progress(job, self.layout(job).tasks_per_part)
        return PROGRESS_KEY + job.job_id, value

    def part(self, job, part):
        """Return the record of a part; it holds no checkpoints that are too long."""
        layout = self.layout(job)
        tasks = layout.tasks_of(part)
        max_bytes = layout.max_checkpoint_bytes(self._limits)
        too_long = [task for task in tasks if is_longer(task.checkpoint, max_bytes)]
        if too_long and not layout.has_long_checkpoints:
            layout.has_long_checkpoints = True
            self._note_long_checkpoints(too_long, max_bytes)
        return part_key(job.job_id, part), encode_part(tasks, max_bytes)

    def ended(self, job, *, is_new):
        """Return the record of an ended job's state, and delete its other records.

        Its spec and its parts would be most of what the next owner has to read. They
        have to go with the same append: without them, a job that had not ended would
        be lost or start anew.
        """
        records = [(PROGRESS_KEY + job.job_id, encode_progress(job))]
        if not is_new:
            records.append((JOB_KEY + job.job_id, b""))
        layout = self.layout(job)
        stored_parts = layout.stored_parts if layout is not None else ()
        records += [(part_key(job.job_id, part), b"") for part in sorted(stored_parts)]
        return records

    def _note_long_checkpoints(self, tasks, max_bytes):
        """Tell once of a job whose checkpoints the next owner will not know."""
        self._context.count("checkpoints", "job_with_long_ones")
        self._context.note(
            "checkpoints_not_stored",
            level="WARNING",
            job=tasks[0].step.job.job_id,
            task=tasks[0].name,
            tasks=len(tasks),
            characters=len(tasks[0].checkpoint),
            max_bytes=max_bytes,
        )
