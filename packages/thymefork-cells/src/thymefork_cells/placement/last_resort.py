"""Tell when a step may use workers that are isolated for other jobs."""

__all__ = ["may_use_isolated"]

# A job that has room may run nothing for 3 s, and a lasting task for 6 s. Steps wait
# for other workers somewhat less long.
JOB_WAIT_MS = 2_000.0
LASTING_WAIT_MS = 4_500.0


def may_use_isolated(step, permitted, now_ms):
    """Return whether a step may use workers that are isolated for other jobs.

    These may be crashed there. So only a step that stands still may, and not while one
    of the `permitted` workers could run a task of it, even if only after others end.
    """
    return _has_waited(step, now_ms) and not _fits_any(step, permitted)


def _has_waited(step, now_ms):
    if step.spec.long_running:
        return step.longest_wait_ms(now_ms) > LASTING_WAIT_MS
    return not step.job.runs and step.longest_wait_ms(now_ms) > JOB_WAIT_MS


def _fits_any(step, workers):
    """Return whether a task of a step fits on any of the workers once it is free."""
    limit = step.spec.most_per_worker
    runs_per_worker = step.runs_per_worker() if limit else {}
    return any(
        worker.fits_when_empty(step.spec)
        and not runs_per_worker.get(worker.worker_id, 0) >= limit > 0
        for worker in workers
    )
