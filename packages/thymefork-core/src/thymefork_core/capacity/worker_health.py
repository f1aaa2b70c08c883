"""Quarantine of workers that fail all that they start."""

from attrs import Factory, define

__all__ = ["WorkerHealth"]

FAILURES_TO_QUARANTINE = 3
FIRST_QUARANTINE_MS = 5_000
LONGEST_QUARANTINE_MS = 300_000


@define(kw_only=True)
class WorkerHealth:
    """Count failures of different works in a row; probe with one task."""

    failed_works: set[str] = Factory(set)
    until_ms: int = 0
    quarantine_ms: int = FIRST_QUARANTINE_MS
    on_probation: bool = False
    probing: bool = False

    def succeeded(self):
        """Trust the worker again."""
        self.failed_works.clear()
        self.until_ms = 0
        self.quarantine_ms = FIRST_QUARANTINE_MS
        self.on_probation = False
        self.probing = False

    def failed(self, work_id, now_ms):
        """Count a failure; return whether the worker is now in quarantine."""
        self.failed_works.add(work_id)
        self.probing = False
        enough = len(self.failed_works) >= FAILURES_TO_QUARANTINE
        if not (enough or self.on_probation):
            return False
        self.until_ms = now_ms + self.quarantine_ms
        self.quarantine_ms = min(2 * self.quarantine_ms, LONGEST_QUARANTINE_MS)
        self.on_probation = True
        return True

    def may_start(self, now_ms):
        """Tell whether a start may be sent; on probation one at a time."""
        if now_ms < self.until_ms:
            return False
        return not (self.on_probation and self.probing)

    def started(self):
        """Note a start; on probation it is the probe."""
        if self.on_probation:
            self.probing = True
