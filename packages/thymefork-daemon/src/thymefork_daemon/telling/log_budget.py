"""A bound on log lines, by kind, over each second."""

from collections import Counter

__all__ = ["LogBudget"]

# Measured on a calm day: about 25 lines a second on the busiest instance.
LINES_PER_SECOND = 150
# One event may take this much of the budget.
LINES_PER_EVENT = 60
# Events that come with every job or task. All others, such as a change of ownership or
# a refusal, have as much again to themselves, so that a busy second never hides them.
ROUTINE_EVENTS = frozenset(
    {
        "job_accepted",
        "job_ended",
        "run_ended",
        "run_makes_way",
        "step_waits",
        "tasks_start",
        "worker_listed",
    }
)


class LogBudget:
    """Decide which lines are written; count by event those that are left out."""

    def __init__(self):
        self._second = -1
        self._written = Counter()
        self._totals = Counter()
        self.left_out = Counter()

    def admits(self, event, level, steady_s):
        """Tell whether a line is written; failures go before successes."""
        second = int(steady_s)
        if second != self._second:
            self._second = second
            self._written.clear()
            self._totals.clear()
        is_routine = event in ROUTINE_EVENTS
        most = LINES_PER_SECOND * (2 if level in ("WARNING", "ERROR") else 1)
        if self._totals[is_routine] >= most or self._written[event] >= LINES_PER_EVENT:
            self.left_out[event] += 1
            return False
        self._totals[is_routine] += 1
        self._written[event] += 1
        return True

    def take_left_out(self):
        """Return the counts of lines left out since the last call."""
        counts = dict(self.left_out)
        self.left_out.clear()
        return counts
