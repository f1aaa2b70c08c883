"""What client accounts may still start."""

from collections import Counter
from copy import copy

from attrs import define, field

from ..specs import ResourceLimit
from ..state import AccountUsage
from .account_demand import AccountDemand

__all__ = ["Quotas"]

# An entry instance may let an account in by a configuration that the owner has yet to
# read. Its work waits so long for its limit: as long as a version takes to be in force
# everywhere on the slowest sites.
UNKNOWN_ACCOUNT_TIMEOUT_MS = 3_000.0
# Of an account at its limit, so many steps are kept in view, so that their tickets are
# ready when a run ends: a handful of the widest steps is more than one end lets start.
# Without the bound, each plan goes through all that a flooding account has waiting.
MAX_BLOCKED_STEPS = 8
NO_LIMIT = ResourceLimit()
NOTHING = ResourceLimit(cpu_milli=1, memory_mb=1, accelerators=1)


@define(kw_only=True, eq=False)
class Quotas:
    """Keep each account's runs over all cells within its limit.

    Each cell keeps to the parts of it that it holds: an equal share of its own, less
    what it has lent to other cells, and what it has borrowed, so that none has to hear
    from another before a start. An account that was removed keeps its last limit while
    its jobs go on. `demands` tells, of the accounts with work to start in a cell among
    several, what that asks for, as of the latest plan, which `plan_number` names.
    """

    _context = field()
    _parts = field()
    demands = field(factory=dict)
    plan_number = field(default=0)
    _last_limits = field(factory=dict)

    def update_limits(self, configuration):
        """Note the limits of a configuration that has come into force."""
        for account in configuration.accounts or ():
            self._last_limits[account.name] = account.limit

    @property
    def has_limits(self):
        """Tell whether any account was ever known."""
        return bool(self._last_limits)

    def known_limit(self, name):
        """Return the whole limit of an account, None if it was never read."""
        return self._last_limits.get(name)

    def limit(self, job, now_ms):
        """Return what a job's account may have running in this cell."""
        name = job.account_name
        if not name:
            return NO_LIMIT
        limit = self._last_limits.get(name)
        if limit is not None:
            if self._context.cell_count == 1:
                return limit
            return self._parts.allowed(name, limit)
        waited_ms = now_ms - job.accepted_ms
        return NOTHING if waited_ms < UNKNOWN_ACCOUNT_TIMEOUT_MS else NO_LIMIT

    def tasks_allowed(self, step, now_ms):
        """Return how many more tasks of a step its account may start."""
        limit = self.limit(step.job, now_ms)
        return step.job.usage.tasks_allowed(step.spec, limit)

    def plannable_steps(self, steps, now_ms):
        """Return the steps, in their order, without most of those held by a limit."""
        planned, held_back, kept = {}, Counter(), []
        self.demands.clear()
        self.plan_number += 1
        for step in steps:
            usage = step.job.usage
            if usage.name:
                usage = planned.setdefault(usage.name, copy(usage))
                left = usage.tasks_allowed(step.spec, self.limit(step.job, now_ms))
                held_back[usage.name] += not left
                if not left and held_back[usage.name] > MAX_BLOCKED_STEPS:
                    continue
                if step.ready:
                    self._note_demand(step, usage, left)
                    usage.add(step.spec, min(left, len(step.waiting)))
            kept.append(step)
        return kept

    def _note_demand(self, step, usage, left):
        """Note what a step asks for, where parts may come from other cells."""
        name = usage.name
        if self._context.cell_count == 1 or name not in self._last_limits:
            return
        if name not in self.demands:
            self.demands[name] = AccountDemand(wanted=copy(step.job.usage))
        self.demands[name].add(step, usage, left)

    def can_ever_run(self, spec, account_name):
        """Tell whether each task, and each gang as a whole, fits an account's limit."""
        limit = self._last_limits.get(account_name)
        if limit is None:
            return True
        idle = AccountUsage(name=account_name)
        return all(
            idle.tasks_allowed(step, limit) >= (step.count if step.gang else 1)
            for step in spec.steps
        )
