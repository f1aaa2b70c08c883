"""How long tasks of the same image take."""

from collections import OrderedDict

from .lateness_probability import LatenessProbability

__all__ = ["ImageDurations"]

# A new duration counts this much beside what was known.
WEIGHT_OF_NEWEST = 0.3
# A duration this many times the known one is a long tail, and counts less.
OUTLIER = 2.0
WEIGHT_OF_OUTLIER = 0.05
# A run counts as late once its expected total is this many times the usual one.
LATE = 2.0
# Progress is told in whole percent; a pace is read from this long of it.
SHORTEST_SPAN_MS = 250.0
# A start is stored and sent before a task begins, its end heard and stored after it.
OVERHEAD_MS = 100.0
# Images are callers' text, a new one for each build: those seen last are kept.
MAX_IMAGES = 1_000


class ImageDurations:
    """Learn durations by image, since callers' estimates are far off.

    What is kept is the time on an ordinary worker; on a given one it is as many times
    as long as the worker is slow. Units: milliseconds.
    """

    def __init__(self):
        self._mean_ms = OrderedDict()

    def learn(self, image, took_ms):
        """Note how long a task took, or would have, on an ordinary worker."""
        if not image:
            return
        known_ms = self._mean_ms.pop(image, took_ms)
        outlier = took_ms > OUTLIER * known_ms
        weight = WEIGHT_OF_OUTLIER if outlier else WEIGHT_OF_NEWEST
        self._mean_ms[image] = known_ms + weight * (took_ms - known_ms)
        while len(self._mean_ms) > MAX_IMAGES:
            self._mean_ms.popitem(last=False)

    def known_ms(self, image):
        """Return the learned duration, or None."""
        return self._mean_ms.get(image)

    def expected_ms(self, step, worker=None):
        """Return the learned duration, or else the caller's estimate.

        On a worker, or on an ordinary one.
        """
        known_ms = self.known_ms(step.image)
        usual_ms = known_ms if known_ms is not None else float(step.estimated_ms)
        return usual_ms if worker is None else usual_ms * worker.slowness

    def ends_in_time(self, step, start_ms, worker=None):
        """Tell whether a task of a step that starts at a moment meets its objective."""
        return start_ms + self.expected_ms(step.spec, worker) < step.job.objective_ms

    def lateness_probability(self, step, now_ms):
        """Return what judges workers for tasks of a step; None where time is no aim.

        What the job's later steps take is left for them.
        """
        job = step.job
        if step.spec.long_running or step.spec.fills_idle_cpu or not job.objective_ms:
            return None
        chain_ms = self._later_chain_ms(job.spec.steps, step.index)
        return LatenessProbability(
            usual_ms=self.expected_ms(step.spec),
            left_ms=job.objective_ms - chain_ms - now_ms - OVERHEAD_MS,
        )

    def _later_chain_ms(self, steps, index):
        """Return the longest chain of work that follows a step."""
        chain_ms = [0.0] * len(steps)
        for later in range(len(steps) - 1, index, -1):
            total_ms = chain_ms[later] + self.expected_ms(steps[later])
            for earlier in steps[later].after:
                chain_ms[earlier] = max(chain_ms[earlier], total_ms)
        return chain_ms[index]

    def left_ms(self, run, now_ms):
        """Return how long a run is expected to go on."""
        total_ms = self._pace_total_ms(run)
        if total_ms is not None:
            at_listing_ms = total_ms * (100 - run.percent) / 100.0
            return max(0.0, at_listing_ms - (now_ms - run.listed_ms))
        elapsed_ms = max(0.0, now_ms - run.began_ms) if run.began_ms else 0.0
        return max(0.0, self.expected_ms(run.step, run.worker) - elapsed_ms)

    def _pace_total_ms(self, run):
        """Return the total time at the pace that was seen, None if there is none."""
        span_ms = run.listed_ms - run.first_listed_ms
        first_percent = run.first_percent
        has_known_duration = not run.resumed and not run.started_by_previous_owner
        if span_ms < SHORTEST_SPAN_MS and has_known_duration:
            span_ms = run.listed_ms - run.began_ms
            first_percent = 0
        if span_ms < SHORTEST_SPAN_MS or run.percent < 0:
            return None
        gained = run.percent - first_percent
        return span_ms * 100.0 / max(gained, 0.5)

    def late_ms(self, run, now_ms):
        """Return by how much a run falls behind a new one elsewhere, 0 if not.

        It is behind only if it takes far longer than usual on its worker.
        """
        known_ms = self._known_work_ms(run.step)
        if known_ms is None:
            return 0.0
        usual_ms = known_ms * run.worker.healthy_slowness
        total_ms = self._pace_total_ms(run)
        if total_ms is None:
            # It was never listed: late if it should have ended a while ago.
            elapsed_ms = now_ms - run.began_ms if run.began_ms else 0.0
            return max(0.0, elapsed_ms - LATE * usual_ms)
        if total_ms < LATE * usual_ms:
            return 0.0
        return max(0.0, self.left_ms(run, now_ms) - 1.2 * known_ms)

    def overrun_factor(self, run):
        """Return how many times as long as usual on its worker a run takes.

        None if not known.
        """
        known_ms = self._known_work_ms(run.step)
        total_ms = self._pace_total_ms(run)
        if known_ms is None or total_ms is None:
            return None
        return total_ms / (known_ms * run.worker.healthy_slowness)

    def _known_work_ms(self, step):
        """Return what a task takes on an ordinary worker, None where it isn't known."""
        if step.long_running or step.fills_idle_cpu:
            return None
        return self.known_ms(step.image)
