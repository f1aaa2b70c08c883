"""Learn how long tasks of an image take."""

from collections import OrderedDict

from .lateness_probability import LatenessProbability

__all__ = ["ImageDurations"]

# Weight of the newest duration in the moving average.
SMOOTHING_FACTOR = 0.3
# Durations above this multiple of the average get a low weight.
OUTLIER_FACTOR = 2.0
OUTLIER_WEIGHT = 0.05
# A run is late if its expected duration is above this multiple of the usual one.
LATE_FACTOR = 2.0
# Shortest span from which a pace is computed, since progress is in whole percent.
MIN_SPAN_MS = 250.0
# Time to store and send a start, and to receive and store the end.
OVERHEAD_MS = 100.0
# Callers may use a new image for each build: only the latest are kept.
MAX_IMAGES = 1_000


class ImageDurations:
    """Learn durations by image, since callers' estimates are inaccurate.

    Durations refer to an average worker; multiply by a worker's slowness to get the
    duration there. Units: milliseconds.
    """

    def __init__(self):
        self._mean_ms = OrderedDict()

    def learn(self, image, took_ms):
        """Add a task's duration, normalized to an average worker."""
        if not image:
            return
        known_ms = self._mean_ms.pop(image, took_ms)
        is_outlier = took_ms > OUTLIER_FACTOR * known_ms
        weight = OUTLIER_WEIGHT if is_outlier else SMOOTHING_FACTOR
        self._mean_ms[image] = known_ms + weight * (took_ms - known_ms)
        while len(self._mean_ms) > MAX_IMAGES:
            self._mean_ms.popitem(last=False)

    def known_ms(self, image):
        """Return the learned duration, or None."""
        return self._mean_ms.get(image)

    def expected_ms(self, step, worker=None):
        """Return the duration on a worker, by default on an average one.

        This is the learned duration, or else the caller's estimate.
        """
        known_ms = self.known_ms(step.image)
        usual_ms = known_ms if known_ms is not None else float(step.estimated_ms)
        return usual_ms if worker is None else usual_ms * worker.slowness

    def ends_in_time(self, step, start_ms, worker=None):
        """Return whether a task that starts at `start_ms` meets its job's objective."""
        return start_ms + self.expected_ms(step.spec, worker) < step.job.objective_ms

    def lateness_probability(self, step, now_ms):
        """Return a step's lateness probability, or None if it has no objective.

        The time that the job's later steps need is set aside.
        """
        job = step.job
        if step.spec.long_running or step.spec.fills_idle_cpu or not job.objective_ms:
            return None
        critical_path_ms = self._remaining_critical_path_ms(job.spec.steps, step.index)
        return LatenessProbability(
            usual_ms=self.expected_ms(step.spec),
            left_ms=job.objective_ms - critical_path_ms - now_ms - OVERHEAD_MS,
        )

    def _remaining_critical_path_ms(self, steps, index):
        """Return the length of the critical path after a step."""
        critical_path_ms = [0.0] * len(steps)
        for later in range(len(steps) - 1, index, -1):
            total_ms = critical_path_ms[later] + self.expected_ms(steps[later])
            for earlier in steps[later].after:
                critical_path_ms[earlier] = max(critical_path_ms[earlier], total_ms)
        return critical_path_ms[index]

    def left_ms(self, run, now_ms):
        """Return the expected remaining time of a run."""
        total_ms = self._pace_total_ms(run)
        if total_ms is not None:
            left_at_report_ms = total_ms * (100 - run.percent) / 100.0
            return max(0.0, left_at_report_ms - (now_ms - run.reported_ms))
        elapsed_ms = max(0.0, now_ms - run.began_ms) if run.began_ms else 0.0
        return max(0.0, self.expected_ms(run.step, run.worker) - elapsed_ms)

    def _pace_total_ms(self, run):
        """Return the total duration at the observed pace, or None if unknown."""
        span_ms = run.reported_ms - run.first_reported_ms
        first_percent = run.first_percent
        has_known_duration = not run.resumed and not run.started_by_previous_owner
        if span_ms < MIN_SPAN_MS and has_known_duration:
            span_ms = run.reported_ms - run.began_ms
            first_percent = 0
        if span_ms < MIN_SPAN_MS or run.percent < 0:
            return None
        gained = run.percent - first_percent
        return span_ms * 100.0 / max(gained, 0.5)

    def late_ms(self, run, now_ms):
        """Return by how much a run would end after a new one elsewhere, 0 if not.

        Only runs that take far longer than usual on their worker count as late.
        """
        known_ms = self._learned_ms(run.step)
        if known_ms is None:
            return 0.0
        usual_ms = known_ms * run.worker.healthy_slowness
        total_ms = self._pace_total_ms(run)
        if total_ms is None:
            # No progress was reported: late if it should have ended a while ago.
            elapsed_ms = now_ms - run.began_ms if run.began_ms else 0.0
            return max(0.0, elapsed_ms - LATE_FACTOR * usual_ms)
        if total_ms < LATE_FACTOR * usual_ms:
            return 0.0
        return max(0.0, self.left_ms(run, now_ms) - 1.2 * known_ms)

    def overrun_factor(self, run):
        """Return a run's duration relative to the usual one on its worker.

        None if unknown.
        """
        known_ms = self._learned_ms(run.step)
        total_ms = self._pace_total_ms(run)
        if known_ms is None or total_ms is None:
            return None
        return total_ms / (known_ms * run.worker.healthy_slowness)

    def _learned_ms(self, step):
        """Return the learned duration of a step's tasks, or None if unknown."""
        if step.long_running or step.fills_idle_cpu:
            return None
        return self.known_ms(step.image)
