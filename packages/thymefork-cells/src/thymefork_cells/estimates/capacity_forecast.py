"""Forecast when capacity is freed on a worker as its runs end."""

from ..state import RunState
from .free_capacity import FreeCapacity

__all__ = ["CapacityForecast"]


class CapacityForecast:
    """Estimate when tasks of a step fit on a worker."""

    def __init__(self, *, context, durations):
        self._context = context
        self._durations = durations

    def fit_times(self, worker, spec, now_ms):
        """Return when the first task of a step fits, the second, and so on."""
        free = FreeCapacity.of(worker)
        times = free.allocate_all(spec, now_ms)
        for left_ms, run in self._ends(worker, now_ms):
            if _are_all_placed(times, spec):
                break
            free.release(run.step)
            times += free.allocate_all(spec, now_ms + left_ms)
        if spec.most_per_worker:
            times = times[: spec.most_per_worker]
        return times[: spec.count]

    def fits_by(self, worker, spec, until_ms, now_ms):
        """Return whether one task of a step fits by `until_ms`."""
        free = FreeCapacity.of(worker)
        if free.fits(spec):
            return True
        for left_ms, run in self._ends(worker, now_ms):
            if now_ms + left_ms > until_ms:
                return False
            free.release(run.step)
            if free.fits(spec):
                return True
        return False

    def _ends(self, worker, now_ms):
        """Return (remaining time, run) of a worker's runs, the soonest first."""
        stop_ms = self._context.bounds.stop_timeout_ms
        rows = []
        for run in worker.runs.values():
            if run.state is RunState.STOPPING:
                rows.append((stop_ms, run))
            elif not run.step.long_running:
                rows.append((self._durations.left_ms(run, now_ms), run))
        return sorted(rows, key=lambda row: row[0])


def _are_all_placed(times, spec):
    return len(times) >= (spec.most_per_worker or spec.count)
