"""How long tasks of the same image take."""

__all__ = ["ImageTimes"]

# A new duration counts this much beside what was known.
WEIGHT_OF_NEWEST = 0.3


# A duration this many times the known one was seen on a slow worker, and counts less.
OUTLIER = 2.0
WEIGHT_OF_OUTLIER = 0.05
# A run counts as late once its expected total is this many times the usual one.
LATE = 2.0
# Progress is told in whole percent; a pace is read from this long of it.
SHORTEST_SPAN_MS = 250.0


class ImageTimes:
    """Learn durations by image, since callers' estimates are far off.

    Units: milliseconds on a sound worker.
    """

    def __init__(self):
        self._mean_ms = {}

    def learn(self, image, took_ms):
        """Note how long a task took from its start to its good end."""
        if not image:
            return
        known_ms = self._mean_ms.get(image)
        if known_ms is None:
            self._mean_ms[image] = took_ms
            return
        outlier = took_ms > OUTLIER * known_ms
        weight = WEIGHT_OF_OUTLIER if outlier else WEIGHT_OF_NEWEST
        self._mean_ms[image] += weight * (took_ms - known_ms)

    def known_ms(self, image):
        """Return the learned duration, or None."""
        return self._mean_ms.get(image)

    def expected_ms(self, step):
        """Return the learned duration, or else the caller's estimate."""
        known_ms = self._mean_ms.get(step.image) if step.image else None
        return known_ms if known_ms is not None else float(step.estimated_ms)

    def ends_in_time(self, step, start_ms):
        """Tell whether a task of a step that starts at a moment meets its objective."""
        return start_ms + self.expected_ms(step.spec) < step.job.objective_ms

    def left_ms(self, run, now_ms):
        """Return how long a run is expected to go on."""
        total_ms = self._pace_total_ms(run)
        if total_ms is not None:
            at_listing_ms = total_ms * (100 - run.percent) / 100.0
            return max(0.0, at_listing_ms - (now_ms - run.listed_ms))
        elapsed_ms = max(0.0, now_ms - run.began_ms) if run.began_ms else 0.0
        return max(0.0, self.expected_ms(run.step) - elapsed_ms)

    def _pace_total_ms(self, run):
        """Return the total time at the pace that was seen, None if there is none."""
        span_ms = run.listed_ms - run.first_listed_ms
        first_percent = run.first_percent
        if span_ms < SHORTEST_SPAN_MS and not run.resumed:
            span_ms = run.listed_ms - run.began_ms
            first_percent = 0
        if span_ms < SHORTEST_SPAN_MS or run.percent < 0:
            return None
        gained = run.percent - first_percent
        return span_ms * 100.0 / max(gained, 0.5)

    def late_ms(self, run, now_ms):
        """Return by how much a run falls behind a new one elsewhere, 0 if not."""
        known_ms = self._mean_ms.get(run.step.image) if run.step.image else None
        if known_ms is None or run.step.long_running or run.step.fills_idle_cpu:
            return 0.0
        total_ms = self._pace_total_ms(run)
        if total_ms is None:
            # It was never listed: late if it should have ended a while ago.
            elapsed_ms = now_ms - run.began_ms if run.began_ms else 0.0
            return max(0.0, elapsed_ms - LATE * known_ms)
        if total_ms < LATE * known_ms:
            return 0.0
        return max(0.0, self.left_ms(run, now_ms) - 1.2 * known_ms)

    def slowness(self, run):
        """Return how many times as long as usual a run takes, None if not known."""
        known_ms = self._mean_ms.get(run.step.image) if run.step.image else None
        if known_ms is None or run.step.long_running or run.step.fills_idle_cpu:
            return None
        total_ms = self._pace_total_ms(run)
        return None if total_ms is None else total_ms / known_ms
