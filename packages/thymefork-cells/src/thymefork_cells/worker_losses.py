"""Which workers were lost while they ran tasks, and under which tasks."""

__all__ = ["WorkerLosses"]

# A log line names this many runs; a job may have hundreds on one worker.
MOST_NAMED = 10


class WorkerLosses:
    """Tell of each worker that is lost with runs on it, a line a job."""

    def __init__(self, *, context):
        self._context = context

    def note(self, worker, runs, reason, *, now_ms):
        """Note that a worker was lost under runs that may have been there."""
        by_job = {}
        for run in runs:
            by_job.setdefault(run.task.step.job, []).append(run)
        self._context.count("worker_losses", reason)
        for job, lost in by_job.items():
            self._context.note(
                "runs_lost",
                job=job.job_id,
                worker=worker.worker_id,
                reason=reason,
                runs=[f"{run.task.name}/{run.run_id}" for run in lost[:MOST_NAMED]],
                tasks=len(lost),
                after_ms=min(age_at_loss_ms(run, now_ms) for run in lost),
                other_jobs=len(by_job) - 1,
                was_leaving=worker.is_leaving,
            )


def age_at_loss_ms(run, now_ms):
    """Return for how long at most a run was at work when its worker fell silent.

    0 where its start was not seen by this owner.
    """
    if not run.began_ms:
        return 0
    silent_since_ms = run.worker.missed_ms or now_ms
    return max(0, round(silent_since_ms - run.began_ms))
