"""Load a cell's jobs from the store."""

from attrs import field, frozen

from .codec import JOB_KEY, PROGRESS_KEY, decode_ended_job, decode_job, decode_progress
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
        for key, value in records.items():
            job_id = key.removeprefix(JOB_KEY)
            if key.startswith(JOB_KEY) and job_id not in self._context.jobs:
                progress = records.get(PROGRESS_KEY + job_id)
                job = self._load_live_job(job_id, value, progress, epoch_ms, now_ms)
                self._resume(job, now_ms)
        self._update_shares()

    def _load_live_job(self, job_id, value, progress, epoch_ms, now_ms):
        job = decode_job(
            job_id,
            value,
            usage_of=self._context.usage_of,
            epoch_ms=epoch_ms,
            now_ms=now_ms,
        )
        job.visible_state = job.state
        if progress is not None:
            decode_progress(job, progress, self._worker_of)
        return job

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
