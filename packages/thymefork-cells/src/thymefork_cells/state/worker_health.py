"""How well a worker has done what it was given."""

from attrs import define

__all__ = ["WorkerHealth"]

# Tasks fail by their own fault in up to a tenth of their runs, so one failure says
# little; two in a row without a success in between happen by chance once in 100.
FAILURES_TO_QUARANTINE = 2
# The first pause is about the time that a short task takes. It doubles while tasks
# fail: a worker that stays bad costs one task in 6 s, one that is well again is missed
# for 6 s at most.
FIRST_PAUSE_MS = 1_500.0
LONGEST_PAUSE_MS = 6_000.0


@define(kw_only=True, eq=False)
class WorkerHealth:
    """Judge a worker by the ends of its runs.

    After a pause it gets one task at a time, whatever else runs there, until one
    succeeds.
    """

    failures_in_row: int = 0
    pauses_in_row: int = 0
    paused_until_ms: float = 0.0
    on_probation: bool = False
    probe: object = None

    def succeeded(self):
        """Note a run that ended well."""
        self.failures_in_row = 0
        self.pauses_in_row = 0
        self.on_probation = False
        self.probe = None

    def failed(self, now_ms):
        """Note a run that failed; return whether the worker is paused for it."""
        self.failures_in_row += 1
        if not self.on_probation and self.failures_in_row < FAILURES_TO_QUARANTINE:
            return False
        self.pause(now_ms)
        return True

    def pause(self, now_ms):
        """Give the worker nothing for a while."""
        pause_ms = min(FIRST_PAUSE_MS * 2**self.pauses_in_row, LONGEST_PAUSE_MS)
        self.paused_until_ms = now_ms + pause_ms
        self.pauses_in_row += 1
        self.on_probation = True

    def takes_work(self, now_ms):
        """Tell whether the worker may be given a task."""
        return now_ms >= self.paused_until_ms and not self.awaits_probe

    @property
    def awaits_probe(self):
        """Tell whether the one task that it was given on probation is still out."""
        return self.on_probation and self.probe is not None

    def started(self, run):
        """Note a run; on probation it is the one that tells how the worker is."""
        if self.on_probation:
            self.probe = run

    def gone(self, run):
        """Note that a run is over without a word on the worker."""
        if self.probe is run:
            self.probe = None
