"""Pause workers on which runs fail."""

from attrs import define, field

__all__ = ["WorkerHealth"]

# Tasks fail by their own fault in up to a tenth of their runs. Two failures in a row
# without a success in between happen by chance once in 100.
FAILURES_TO_PAUSE = 2
# Short, since for some steps the policy admits no other worker.
PAUSE_MS = 1_500.0
# A probe that works this long admits further tasks; a lasting one never succeeds.
PROBE_MS = 1_000.0
# Bounds the steps that are remembered for failures.
MAX_FAILED_STEPS = 8


@define(kw_only=True, eq=False)
class WorkerHealth:
    """Track failures of a worker's runs, and pause workers that keep failing.

    After a pause the worker is on probation: it gets one new task at a time, the probe,
    until one succeeds or works for `PROBE_MS`. Failures of steps that fail everywhere
    say nothing about the worker. `failed_steps` holds the steps of the latest failures
    in a row.
    """

    failures_in_row: int = 0
    failed_steps: list = field(factory=list)
    paused_until_ms: float = 0.0
    on_probation: bool = False
    probe: object = None

    def succeeded(self):
        """Record a successful run."""
        self.failures_in_row = 0
        self.failed_steps.clear()
        self._end_probation()

    def failed(self, step, now_ms):
        """Record a failed run of a step; return whether the worker is paused for it."""
        if step.fails_everywhere:
            return False
        self.failures_in_row += 1
        self.failed_steps = [*self.failed_steps, step][-MAX_FAILED_STEPS:]
        if not self.on_probation and self.failures_in_row < FAILURES_TO_PAUSE:
            return False
        self.pause(now_ms)
        return True

    def withdraw_failures(self, step):
        """Forget the failures of a step that turned out to fail everywhere.

        Return whether that ends a pause or probation.
        """
        kept = [failed for failed in self.failed_steps if failed is not step]
        withdrawn = len(self.failed_steps) - len(kept)
        self.failures_in_row -= withdrawn
        self.failed_steps = kept
        if not withdrawn or self.failures_in_row >= FAILURES_TO_PAUSE:
            return False
        if not self.on_probation:
            return False
        self.paused_until_ms = 0.0
        self._end_probation()
        return True

    def pause(self, now_ms):
        """Pause new work on the worker."""
        self.paused_until_ms = now_ms + PAUSE_MS
        self.on_probation = True

    @property
    def awaits_probe(self):
        """Return whether the probe is still running without a verdict."""
        return self.on_probation and self.probe is not None

    def started(self, run):
        """Record a started run; on probation it becomes the probe."""
        if self.on_probation:
            self.probe = run

    def check_probe(self, now_ms):
        """End the probation once the probe has worked for long enough.

        The next failure pauses the worker again.
        """
        run = self.probe
        if run is None or not run.is_live or not run.began_ms:
            return
        if now_ms - run.began_ms >= PROBE_MS:
            self._end_probation()

    def _end_probation(self):
        self.on_probation = False
        self.probe = None

    def gone(self, run):
        """Record a run that ended without a verdict on the worker."""
        if self.probe is run:
            self.probe = None
