"""Run ends that a previous owner of the cell received but could not store."""

from ..state import RunState

__all__ = ["InheritedEnds"]


class InheritedEnds:
    """Apply the announced ends to runs that were recovered from the store.

    A start takes effect at most once and a run's end is final, so an end is valid
    whichever owner received it. A worker that is still reachable reports the same end
    again, without effect.
    """

    def __init__(self, *, context, lifecycle, takeover_report):
        self._context = context
        self._lifecycle = lifecycle
        self._takeover_report = takeover_report

    def apply(self, ends, *, now_ms):
        """End the recovered runs, and log one line for each job."""
        counts = {}
        for end in ends:
            run = self._recovered_run(end)
            if run is not None:
                self._takeover_report.on_end_inherited()
                self._lifecycle.end(run, end.how, end.checkpoint, now_ms=now_ms)
                counts[end.job_id] = counts.get(end.job_id, 0) + 1
        for job_id, count in counts.items():
            self._context.note("ends_inherited", job=job_id, ends=count)
        if counts:
            self._context.count("run_ends", "inherited", sum(counts.values()))

    def _recovered_run(self, end):
        """Return the run of an end if its state is known from the store alone."""
        worker = self._context.workers.get(end.worker_id)
        run = worker and worker.runs.get((end.task, end.run_id))
        if run is None or run.state is not RunState.RECOVERED:
            return None
        return run
