"""A bound on log lines, by kind, over each second."""

from collections import Counter

__all__ = ["ROUTINE_EVENTS", "LogRateLimiter"]

# Six times what the busiest instance writes on a calm day.
LINES_PER_SECOND = 150
# One event may take this much of the budget.
LINES_PER_EVENT = 60
# Events that tell what became of a job have as much again to themselves: an owner takes
# 30 to 50 jobs a second, and without its end nobody could tell whether one was lost.
JOB_EVENTS = frozenset({"job_accepted", "job_ended"})
# Events that come with every task or worker. All others, such as a change of ownership
# or a refusal, have as much again, too, so that a busy second never hides them.
ROUTINE_EVENTS = frozenset(
    {
        "end_skipped",
        "ends_inherited",
        "ends_stored_late",
        "ends_told",
        "run_ended",
        "run_makes_way",
        "run_vanished",
        "runs_lost",
        "step_waits",
        "tasks_start",
        "worker_listed",
    }
)


class LogRateLimiter:
    """Decide which lines are written; count by event those that are left out."""

    def __init__(self):
        self._second = -1
        self._written = Counter()
        self._totals = Counter()
        self.suppressed = Counter()

    def allows(self, event, level, steady_s):
        """Tell whether a line is written; failures go before successes."""
        second = int(steady_s)
        if second != self._second:
            self._second = second
            self._written.clear()
            self._totals.clear()
        kind = _kind(event)
        most = LINES_PER_SECOND * (2 if level in ("WARNING", "ERROR") else 1)
        most_of_event = LINES_PER_SECOND if event in JOB_EVENTS else LINES_PER_EVENT
        if self._totals[kind] >= most or self._written[event] >= most_of_event:
            self.suppressed[event] += 1
            return False
        self._totals[kind] += 1
        self._written[event] += 1
        return True

    def take_suppressed(self):
        """Return the counts of lines left out since the last call."""
        counts = dict(self.suppressed)
        self.suppressed.clear()
        return counts


def _kind(event):
    """Return which share of the budget an event is counted against."""
    if event in JOB_EVENTS:
        return "job"
    return "routine" if event in ROUTINE_EVENTS else "other"
