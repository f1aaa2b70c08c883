"""Ends that another owner of the cell heard and could not store."""

from ..state import RunState

__all__ = ["InheritedEnds"]


class InheritedEnds:
    """Apply what an earlier owner has heard to the runs that it left behind.

    A start is carried out once at most, on whichever life of its worker, and the end of
    its run is final, so it holds whoever heard it. Only runs that this owner knows from
    the store alone are ended by it; a worker that can be asked lists the same end,
    which then changes nothing.
    """

    def __init__(self, *, context, lifecycle):
        self._context = context
        self._lifecycle = lifecycle

    def apply(self, ends, *, now_ms):
        """End the runs that are counted as there, and log one line a job."""
        counts = {}
        for end in ends:
            run = self._run_of(end)
            if run is not None:
                self._lifecycle.end(run, end.how, end.checkpoint, now_ms=now_ms)
                counts[end.job_id] = counts.get(end.job_id, 0) + 1
        for job_id, count in counts.items():
            self._context.note("ends_inherited", job=job_id, ends=count)
        if counts:
            self._context.count("run_ends", "inherited", sum(counts.values()))

    def _run_of(self, end):
        """Return the run of an end that this owner has not settled, or None."""
        worker = self._context.workers.get(end.worker_id)
        run = worker and worker.runs.get((end.task, end.run_id))
        if run is None or run.state is not RunState.RECOVERED:
            return None
        return run
