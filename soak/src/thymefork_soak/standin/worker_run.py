"""What the stand-in for a worker keeps of a run and of a look that waits."""

from attrs import define, field

__all__ = ["Waiter", "WorkerRun"]

# Tasks that last are at work after this time.
LONG_RUNNING_STARTUP_MS = 200.0


@define(kw_only=True)
class WorkerRun:
    """Follow one run on a worker.

    Units: times in milliseconds on the steady clock, processors in thousandths.
    """

    task: str
    run_id: int
    cpu_milli: int
    began_ms: float
    ends_ms: float
    outcome: str
    long_running: bool = False

    def percent(self, now_ms):
        """Return the progress, as a worker tells it."""
        if self.long_running:
            return 100 if now_ms > self.began_ms + LONG_RUNNING_STARTUP_MS else 0
        share = (now_ms - self.began_ms) / max(1.0, self.ends_ms - self.began_ms)
        return min(99, int(100 * share))


@define(kw_only=True, eq=False)
class Waiter:
    """Follow a look that waits for an end."""

    answer: object
    until_ms: float
    last_seen: int
    answered: bool = field(default=False)
