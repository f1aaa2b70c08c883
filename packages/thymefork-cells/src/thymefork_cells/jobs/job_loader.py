"""Load a cell's jobs from the store."""

from attrs import field, frozen

from .codec import (
    JOB_KEY,
    PART_KEY,
    PROGRESS_KEY,
    decode_ended_job,
    decode_job,
    decode_progress,
    part_key,
)
from .objective import set_objective

__all__ = ["JobLoader"]


@frozen(kw_only=True)
class JobLoader:
    """Load the jobs of a cell at a takeover.

    `worker_of(worker_id)` returns the worker with this id, or a placeholder.
    """

    _context = field()
    _lifecycle = field()
    _losses = field()
    _shares = field()
    _worker_of = field()

    def load(self, records, *, epoch_ms, now_ms):
        """Load all jobs; `records` maps keys to values."""
        for key, value in records.items():
            if key.startswith(PROGRESS_KEY):
                job = decode_ended_job(key.removeprefix(PROGRESS_KEY), value)
                if job is not None:
                    self._resume(job, now_ms)
        parts = _parts_by_job(records)
        for key, value in records.items():
            job_id = key.removeprefix(JOB_KEY)
            if key.startswith(JOB_KEY) and job_id not in self._context.jobs:
                job = self._load_live_job(job_id, value, epoch_ms, now_ms)
                progress = records.get(PROGRESS_KEY + job_id)
                if progress is not None:
                    self._load_progress(job, progress, parts)
                self._resume(job, now_ms)
        self._drop_parts(parts)
        self._update_shares()

    def _load_live_job(self, job_id, value, epoch_ms, now_ms):
        job = decode_job(
            job_id,
            value,
            usage_of=self._context.usage_of,
            epoch_ms=epoch_ms,
            now_ms=now_ms,
        )
        job.visible_state = job.state
        return job

    def _load_progress(self, job, progress, parts):
        """Load a job's progress, and its parts if the job's own record names them."""
        rows = parts.get(job.job_id, {})
        tasks_per_part = decode_progress(job, progress, self._worker_of, rows.values())
        if tasks_per_part:
            records = self._context.journal.job_records
            records.load_layout(job, tasks_per_part, rows)
            parts.pop(job.job_id, None)

    def _drop_parts(self, parts):
        """Delete the parts that no job's own record names.

        Their owner had not stored that record yet, so nothing depended on them.
        """
        for job_id, rows in parts.items():
            self._context.journal.drop_keys([part_key(job_id, part) for part in rows])

    def _resume(self, job, now_ms):
        set_objective(job, self._context.queue(job))
        if not job.is_live:
            job.ended_ms = now_ms
            for run in job.runs:
                self._lifecycle.stop(run, f"the job is {job.state}", now_ms=now_ms)
        else:
            self._context.live_jobs[job.job_id] = job
            self._losses.load_losses(job)
            self._lifecycle.delayed_starts.restore(job, now_ms)
        self._context.jobs[job.job_id] = job

    def _update_shares(self):
        """Recompute which live jobs are within their account's share."""
        by_age = sorted(
            self._context.live_jobs.values(), key=lambda job: job.accepted_ms
        )
        for job in by_age:
            is_within = self._shares.admits(job.account_name, job.accepted_ms)
            job.is_beyond_share = not is_within


def _parts_by_job(records):
    """Return the records of parts, by the ids of their jobs and by their numbers."""
    parts = {}
    for key, value in records.items():
        if key.startswith(PART_KEY):
            job_id, _, part = key.removeprefix(PART_KEY).partition(".")
            parts.setdefault(job_id, {})[int(part)] = value
    return parts
