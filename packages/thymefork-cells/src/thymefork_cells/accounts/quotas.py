"""What client accounts may still start."""

from collections import Counter
from copy import copy

from attrs import field, frozen

from ..specs import RoomLimit
from ..state import AccountUsage

__all__ = ["Quotas"]

# An entry instance may let an account in by a configuration that the owner has yet to
# read. Its work waits so long for its limit: as long as a version takes to be in force
# everywhere on the slowest sites.
UNKNOWN_ACCOUNT_MS = 3_000.0
# Of an account at its limit, so many steps are kept in view, so that their tickets are
# ready when a run ends: a handful of the widest steps is more than one end lets start.
# Without the bound, each plan goes through all that a flooding account has waiting.
MOST_IN_VIEW = 8
NO_LIMIT = RoomLimit()
NOTHING = RoomLimit(cpu_milli=1, memory_mb=1, accelerators=1)


@frozen(kw_only=True)
class Quotas:
    """Keep each account's runs over all cells within its limit.

    Each cell keeps to an equal part of it: jobs are dealt to cells by their ids, so an
    account's work spreads evenly, and no cell has to hear from another before a start.
    An account that was removed keeps its last limit while its jobs go on.
    """

    _context = field()
    _last_limits = field(factory=dict)

    def learn(self, configuration):
        """Note the limits of a configuration that has come into force."""
        for account in configuration.accounts or ():
            self._last_limits[account.name] = account.limit

    def limit(self, job, now_ms):
        """Return what a job's account may have running in this cell."""
        name = job.account_name
        if not name:
            return NO_LIMIT
        limit = self._last_limits.get(name)
        if limit is not None:
            return limit.share(self._context.cell_count)
        waited_ms = now_ms - job.accepted_ms
        return NOTHING if waited_ms < UNKNOWN_ACCOUNT_MS else NO_LIMIT

    def tasks_left(self, step, now_ms):
        """Return how many more tasks of a step its account may start."""
        limit = self.limit(step.job, now_ms)
        return step.job.usage.tasks_left(step.spec, limit)

    def in_view(self, steps, now_ms):
        """Return the steps, in their order, without most of those held by a limit."""
        planned, held_back, kept = {}, Counter(), []
        for step in steps:
            usage = step.job.usage
            if usage.name:
                usage = planned.setdefault(usage.name, copy(usage))
                left = usage.tasks_left(step.spec, self.limit(step.job, now_ms))
                held_back[usage.name] += not left
                if not left and held_back[usage.name] > MOST_IN_VIEW:
                    continue
                if step.ready:
                    usage.add(step.spec, min(left, len(step.waiting)))
            kept.append(step)
        return kept

    def can_ever_run(self, spec, account_name):
        """Tell whether each task, and each gang as a whole, fits an account's limit."""
        limit = self._last_limits.get(account_name)
        if limit is None:
            return True
        share = limit.share(self._context.cell_count)
        idle = AccountUsage(name=account_name)
        return all(
            idle.tasks_left(step, share) >= (step.count if step.gang else 1)
            for step in spec.steps
        )
