"""When room comes free on a worker, by what is left of its runs."""

from ..state import RunState
from .free_capacity import FreeCapacity

__all__ = ["CapacityForecast"]


class CapacityForecast:
    """Estimate when tasks of a step would find room on a worker."""

    def __init__(self, *, context, durations):
        self._context = context
        self._durations = durations

    def fit_times(self, worker, spec, now_ms):
        """Return when there is room for the first task of a step, the second, …"""
        room = FreeCapacity.of(worker)
        times = room.allocate_all(spec, now_ms)
        for left_ms, run in self._ends(worker, now_ms):
            if _is_enough(times, spec):
                break
            room.release(run.step)
            times += room.allocate_all(spec, now_ms + left_ms)
        if spec.most_per_worker:
            times = times[: spec.most_per_worker]
        return times[: spec.count]

    def fits_by(self, worker, spec, until_ms, now_ms):
        """Tell whether one task of a step finds room before a moment."""
        room = FreeCapacity.of(worker)
        if room.fits(spec):
            return True
        for left_ms, run in self._ends(worker, now_ms):
            if now_ms + left_ms > until_ms:
                return False
            room.release(run.step)
            if room.fits(spec):
                return True
        return False

    def _ends(self, worker, now_ms):
        """Return a worker's runs with what is left of each, the soonest first."""
        stop_ms = self._context.bounds.stop_timeout_ms
        rows = []
        for run in worker.runs.values():
            if run.state is RunState.STOPPING:
                rows.append((stop_ms, run))
            elif not run.step.long_running:
                rows.append((self._durations.left_ms(run, now_ms), run))
        return sorted(rows, key=lambda row: row[0])


def _is_enough(times, spec):
    return len(times) >= (spec.most_per_worker or spec.count)
