"""Rate limit for log lines, by kind of event."""

from collections import Counter

__all__ = ["ROUTINE_EVENTS", "LogRateLimiter"]

# Applies to each kind of event: job, routine and other. It is six times what the
# busiest instance writes on a calm day.
LINES_PER_SECOND = 150
# Limit for a single event other than a job's.
LINES_PER_EVENT = 60
# Lifecycle of jobs, of which an owner takes 30 to 50 a second. Without its end in the
# log nobody could tell whether a job was lost.
JOB_EVENTS = frozenset({"job_accepted", "job_ended"})
# Events logged for every task or worker. They are limited apart from the others, so
# that they never displace a change of ownership or a refusal.
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
    """Decide which lines are written; count the suppressed ones by event."""

    def __init__(self):
        self._second = -1
        self._written = Counter()
        self._totals = Counter()
        self.suppressed = Counter()

    def allows(self, event, level, steady_s):
        """Return whether to write a line; warnings and errors have a higher limit."""
        second = int(steady_s)
        if second != self._second:
            self._second = second
            self._written.clear()
            self._totals.clear()
        kind = _kind(event)
        max_of_kind = LINES_PER_SECOND * (2 if level in ("WARNING", "ERROR") else 1)
        max_of_event = LINES_PER_SECOND if event in JOB_EVENTS else LINES_PER_EVENT
        if self._totals[kind] >= max_of_kind or self._written[event] >= max_of_event:
            self.suppressed[event] += 1
            return False
        self._totals[kind] += 1
        self._written[event] += 1
        return True

    def take_suppressed(self):
        """Return the counts of lines suppressed since the last call."""
        counts = dict(self.suppressed)
        self.suppressed.clear()
        return counts


def _kind(event):
    """Return the kind of event whose limit applies."""
    if event in JOB_EVENTS:
        return "job"
    return "routine" if event in ROUTINE_EVENTS else "other"
