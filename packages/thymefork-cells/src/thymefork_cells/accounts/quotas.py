"""Enforce the resource limits of client accounts."""

from copy import copy

from attrs import define, field

from ..specs import ResourceLimit
from ..state import AccountUsage
from .account_demand import AccountDemand

__all__ = ["Quotas"]

# An entry instance may accept jobs of an account before the owner has read the
# configuration that adds it. Such jobs wait this long for the account's limit.
UNKNOWN_ACCOUNT_TIMEOUT_MS = 3_000.0
# Steps of an account at its limit that are still planned, so that their tickets are
# ready when a run ends. Bounds the cost of a plan for an account that floods the queue.
MAX_BLOCKED_STEPS = 8
NO_LIMIT = ResourceLimit()
BLOCKING_LIMIT = ResourceLimit(cpu_milli=1, memory_mb=1, accelerators=1)


@define(kw_only=True, eq=False)
class _PlannedAccount:
    """Track an account's usage within one plan, in which it only grows.

    `blocked` counts its steps that may start no task. The limit of an account that is
    not known yet depends on the job.
    """

    usage: AccountUsage
    limit: ResourceLimit
    is_limit_known: bool
    blocked: int = 0
    _exhausted_by: set = field(factory=set)

    def tasks_allowed(self, spec):
        """Return how many more tasks of a step may start.

        An account may have thousands of steps that need the same; what the limit does
        not allow once is not computed again.
        """
        if not self.is_limit_known:
            return self.usage.tasks_allowed(spec, self.limit)
        need = (spec.reserved_cpu_milli, spec.memory_mb, spec.accelerators)
        if need in self._exhausted_by:
            return 0
        left = self.usage.tasks_allowed(spec, self.limit)
        if not left:
            self._exhausted_by.add(need)
        return left


@define(kw_only=True, eq=False)
class Quotas:
    """Keep each account's runs over all cells within its limit.

    Each cell keeps to the limit parts that it holds, so that a start needs no message
    to other cells. A removed account keeps its last limit while its jobs go on.
    `demands` maps accounts with work to start to their demand as of plan `plan_number`;
    it is empty with a single cell.
    """

    _context = field()
    _parts = field()
    demands = field(factory=dict)
    plan_number = field(default=0)

    @property
    def has_limits(self):
        """Return whether any account was ever known."""
        context = self._context
        return bool(context.configuration.accounts or context.removed_accounts)

    def known_limit(self, name):
        """Return the whole limit of an account, or None if unknown."""
        policy = self._context.account_policy(name)
        return policy.limit if policy is not None else None

    def limit(self, job, now_ms):
        """Return the limit of a job's account in this cell."""
        name = job.account_name
        if not name:
            return NO_LIMIT
        limit = self.known_limit(name)
        if limit is not None:
            if self._context.cell_count == 1:
                return limit
            return self._parts.allowed(name, limit)
        waited_ms = now_ms - job.accepted_ms
        return BLOCKING_LIMIT if waited_ms < UNKNOWN_ACCOUNT_TIMEOUT_MS else NO_LIMIT

    def tasks_allowed(self, step, now_ms):
        """Return how many more tasks of a step its account may start now."""
        limit = self.limit(step.job, now_ms)
        return step.job.usage.tasks_allowed(step.spec, limit)

    def plannable_steps(self, steps, now_ms):
        """Return the steps in order, with few of those blocked by a limit."""
        planned, kept = {}, []
        self.demands.clear()
        self.plan_number += 1
        for step in steps:
            name = step.job.account_name
            if name:
                if name not in planned:
                    planned[name] = self._planned_account(step.job, now_ms)
                account = planned[name]
                if not account.is_limit_known:
                    account.limit = self.limit(step.job, now_ms)
                left = account.tasks_allowed(step.spec)
                account.blocked += not left
                if not left and account.blocked > MAX_BLOCKED_STEPS:
                    continue
                if step.ready:
                    self._add_demand(step, account.usage, left)
                    account.usage.add(step.spec, min(left, len(step.waiting)))
            kept.append(step)
        return kept

    def _planned_account(self, job, now_ms):
        """Return a job's account at the beginning of a plan."""
        return _PlannedAccount(
            usage=copy(job.usage),
            limit=self.limit(job, now_ms),
            is_limit_known=self.known_limit(job.account_name) is not None,
        )

    def _add_demand(self, step, usage, left):
        """Add a step to its account's demand, for the exchange of limit parts."""
        name = usage.name
        if self._context.cell_count == 1 or self.known_limit(name) is None:
            return
        if name not in self.demands:
            self.demands[name] = AccountDemand(wanted=copy(step.job.usage))
        self.demands[name].add(step, usage, left)

    def can_ever_run(self, spec, account_name):
        """Return whether each task and each whole gang fits an account's limit."""
        limit = self.known_limit(account_name)
        if limit is None:
            return True
        idle = AccountUsage(name=account_name)
        return all(
            idle.tasks_allowed(step, limit) >= (step.count if step.gang else 1)
            for step in spec.steps
        )
