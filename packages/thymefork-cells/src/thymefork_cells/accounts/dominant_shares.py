"""Weighted dominant-resource fairness between client accounts."""

from heapq import heapify, heappop, heapreplace
from math import exp

from attrs import define

from ..state import AccountUsage

__all__ = ["DominantShares"]

# Decay time of past usage: a few short tasks long.
USAGE_DECAY_MS = 2_000.0
# An account that has waited this long without running anything goes first.
STARVATION_MS = 1_500.0
CAPACITY_REFRESH_MS = 500.0


@define(kw_only=True, eq=False)
class _Account:
    """Track one account; `used` is its decayed mean dominant share."""

    usage: AccountUsage
    weight: float
    used: float
    at_ms: float
    waiting_since_ms: float | None = None

    @property
    def holds_any(self):
        """Return whether any of its runs may exist."""
        return self.usage.cpu_milli > 0 or self.usage.memory_mb > 0


class DominantShares:
    """Rank accounts by dominant share over weight.

    The dominant share is the larger of an account's fractions of the cpu and of the
    memory of all workers, averaged over the last seconds. Only accounts with a weight
    and live jobs are tracked; others accumulate neither credit nor debt.
    """

    def __init__(self, *, context):
        self._context = context
        self._accounts = {}
        self._cpu_milli = 0
        self._memory_mb = 0
        self._capacity_due_ms = float("-inf")

    @property
    def tracks_any(self):
        """Return whether any account has a weight and live jobs."""
        return bool(self._accounts)

    def _update_capacity(self):
        """Recompute the capacity of all listed workers."""
        workers = self._context.workers.values()
        entries = [worker.entry for worker in workers if worker.is_listed]
        self._cpu_milli = sum(max(0, entry.cpu_milli) for entry in entries)
        self._memory_mb = sum(max(0, entry.memory_mb) for entry in entries)

    def review(self, jobs, now_ms):
        """Update the usage of the accounts of live jobs."""
        seen = {}
        for job in jobs:
            name = job.account_name
            if name and name not in seen:
                seen[name] = self._review(name, job.usage, now_ms)
        self._accounts = {name: account for name, account in seen.items() if account}

    def _review(self, name, usage, now_ms):
        policy = self._context.account_policy(name)
        if policy is None or not policy.weight:
            return None
        if now_ms >= self._capacity_due_ms or not self._cpu_milli:
            self._capacity_due_ms = now_ms + CAPACITY_REFRESH_MS
            self._update_capacity()
        held = self._dominant_share(usage.cpu_milli, usage.memory_mb)
        account = self._accounts.get(name)
        if account is None:
            return _Account(usage=usage, weight=policy.weight, used=held, at_ms=now_ms)
        kept = exp(-(now_ms - account.at_ms) / USAGE_DECAY_MS)
        account.used = held + (account.used - held) * kept
        account.weight, account.at_ms = policy.weight, now_ms
        return account

    def _dominant_share(self, cpu_milli, memory_mb):
        """Return the larger fraction of the total capacity."""
        wants = ((cpu_milli, self._cpu_milli), (memory_mb, self._memory_mb))
        return max(
            (held / capacity for held, capacity in wants if capacity), default=0.0
        )

    def tracks(self, account_name):
        """Return whether an account has a weight and live jobs."""
        return account_name in self._accounts

    def used(self, account_name):
        """Return an account's recent dominant share, 0 if it is not tracked."""
        account = self._accounts.get(account_name)
        return account.used if account is not None else 0.0

    # Starvation --------------------------------------------------------------

    def record_waiting(self, account_names, now_ms):
        """Record which accounts have tasks to start now."""
        for name, account in self._accounts.items():
            if name not in account_names or account.holds_any:
                account.waiting_since_ms = None
            elif account.waiting_since_ms is None:
                account.waiting_since_ms = now_ms

    def is_starved(self, account_name, now_ms):
        """Return whether an account has waited long without running anything."""
        account = self._accounts.get(account_name)
        if account is None or account.waiting_since_ms is None:
            return False
        return now_ms - account.waiting_since_ms >= STARVATION_MS

    # Order -------------------------------------------------------------------

    def fair_order(self, steps):
        """Return the steps in fair order: next is always the least-served account.

        Each chosen step adds its resources to its account's share. The steps of one
        account keep their order.
        """
        by_account = {}
        for step in steps:
            by_account.setdefault(step.job.account_name, []).append(step)
        heap = [
            (self._weighted(name, self.used(name)), number, self.used(name), name)
            for number, name in enumerate(by_account)
        ]
        heapify(heap)
        waiting = {name: iter(rows) for name, rows in by_account.items()}
        ordered = []
        while heap:
            _, number, used, name = heap[0]
            step = next(waiting[name], None)
            if step is None:
                heappop(heap)
                continue
            ordered.append(step)
            used += self._waiting_share(step)
            heapreplace(heap, (self._weighted(name, used), number, used, name))
        return ordered

    def _weighted(self, name, used):
        account = self._accounts.get(name)
        return used / account.weight if account is not None else 0.0

    def _waiting_share(self, step):
        """Return the dominant share of a step's waiting tasks."""
        count = len(step.waiting)
        spec = step.spec
        return self._dominant_share(
            count * spec.reserved_cpu_milli, count * spec.memory_mb
        )
