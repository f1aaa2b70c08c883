"""State of a simulated worker's runs and pending polls."""

from attrs import define, field, frozen

__all__ = ["Waiter", "WorkerRun"]

# A long-running task reports full progress after this time.
LONG_RUNNING_STARTUP_MS = 200.0


@define(kw_only=True)
class WorkerRun:
    """Hold one run on a worker.

    Units: milliseconds on the steady clock, thousandths of a core.
    """

    task: str
    run_id: int
    cpu_milli: int
    began_ms: float
    ends_ms: float
    outcome: str
    long_running: bool = False

    def percent(self, now_ms):
        """Return the progress in percent, as reported to owners."""
        if self.long_running:
            return 100 if now_ms > self.began_ms + LONG_RUNNING_STARTUP_MS else 0
        share = (now_ms - self.began_ms) / max(1.0, self.ends_ms - self.began_ms)
        return min(99, int(100 * share))


@frozen(kw_only=True)
class Stopping:
    """Say how long a worker takes to stop a run, and when it answers the command.

    It answers at once, or, if it `answers_late`, when the run has stopped.
    """

    stop_ms: float = 0.0
    answers_late: bool = True


@define(kw_only=True, eq=False)
class Waiter:
    """Hold a poll that waits for a run to end."""

    answer: object
    until_ms: float
    last_seen: int
    answered: bool = field(default=False)
