"""Pause workers on which runs fail."""

from attrs import define

__all__ = ["WorkerHealth"]

# A single failure may be the task's own fault.
FAILURES_TO_PAUSE = 2
# The pause doubles with each further failure.
INITIAL_PAUSE_MS = 1_500.0
MAX_PAUSE_MS = 6_000.0


@define(kw_only=True, eq=False)
class WorkerHealth:
    """Track failures of a worker's runs, and pause workers that keep failing.

    After a pause the worker is on probation: it gets one new task at a time, the probe,
    until one succeeds.
    """

    failures_in_row: int = 0
    pauses_in_row: int = 0
    paused_until_ms: float = 0.0
    on_probation: bool = False
    probe: object = None

    def succeeded(self):
        """Record a successful run."""
        self.failures_in_row = 0
        self.pauses_in_row = 0
        self.on_probation = False
        self.probe = None

    def failed(self, now_ms):
        """Record a failed run; return whether the worker is paused for it."""
        self.failures_in_row += 1
        if not self.on_probation and self.failures_in_row < FAILURES_TO_PAUSE:
            return False
        self.pause(now_ms)
        return True

    def pause(self, now_ms):
        """Pause new work on the worker."""
        pause_ms = min(INITIAL_PAUSE_MS * 2**self.pauses_in_row, MAX_PAUSE_MS)
        self.paused_until_ms = now_ms + pause_ms
        self.pauses_in_row += 1
        self.on_probation = True

    def takes_work(self, now_ms):
        """Return whether the worker may get a task."""
        return now_ms >= self.paused_until_ms and not self.awaits_probe

    @property
    def awaits_probe(self):
        """Return whether the probe is still running."""
        return self.on_probation and self.probe is not None

    def started(self, run):
        """Record a started run; on probation it becomes the probe."""
        if self.on_probation:
            self.probe = run

    def gone(self, run):
        """Record a run that ended without a verdict on the worker."""
        if self.probe is run:
            self.probe = None
