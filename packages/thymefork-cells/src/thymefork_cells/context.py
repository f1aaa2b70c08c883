"""State shared by the components of a cell."""

import time
from collections.abc import Callable
from itertools import chain

from attrs import define, field

from .effects import Count, Note, Observe
from .specs import Bounds, Configuration
from .state import AccountUsage, AdviceSlots

__all__ = ["WORKER_LIST_MAX_AGE_MS", "CellContext"]

# Older worker lists are not used to start work: a worker may have shrunk since, which
# has to be known after contact and a heartbeat, 3.5 s where that is shortest.
WORKER_LIST_MAX_AGE_MS = 3_000.0


@define(kw_only=True, eq=False)
class CellContext:
    """Hold the jobs, workers and pending effects of one cell under one owner.

    `usages` maps client accounts to their usage; `removed_queues` and
    `removed_accounts` map names that the configuration lacks to the last policies,
    which jobs go on with; `pending_stops` holds, as ordered keys, the runs whose stop
    the worker has not acknowledged. `advice_slots` is the number of advice calls that
    may be made now, `stop_slots` that of the stops that may be in flight, None if
    unlimited.
    `worker_list_as_of_ms` is the time up to which the worker list is known to be
    current. `has_quorum` is set once a quorum of workers has accepted this owner's
    fence, `defers_*` while the owner is overloaded. `short_lease_workers` holds, as
    ordered keys, the ids of the workers that were promised short leases.

    Units: `*_ms` on the steady clock; `epoch_ms()` is the time since 1970.
    """

    cell: int
    epoch: int
    cell_count: int
    bounds: Bounds
    taken_over_ms: float
    configuration: Configuration
    jobs: dict = field(factory=dict)
    live_jobs: dict = field(factory=dict)
    workers: dict = field(factory=dict)
    usages: dict = field(factory=dict)
    removed_queues: dict = field(factory=dict)
    removed_accounts: dict = field(factory=dict)
    short_lease_workers: dict = field(factory=dict)
    pending_stops: dict = field(factory=dict)
    effects: list = field(factory=list)
    journal: object = None
    needs_plan: bool = True
    is_store_unavailable: bool = False
    has_quorum: bool = False
    advice_slots: AdviceSlots | None = None
    stop_slots: int | None = None
    worker_list_as_of_ms: float = float("inf")
    defers_idle_polls: bool = False
    defers_early_advice: bool = False
    epoch_ms: Callable[[], float] = field(default=lambda: time.time() * 1000.0)

    def is_worker_list_stale(self, now_ms):
        """Return whether the worker list is too old to start work.

        Checked when work is planned and again when a start is sent, since the process
        may have been paused in between.
        """
        return now_ms - self.worker_list_as_of_ms > WORKER_LIST_MAX_AGE_MS

    def emit(self, effect):
        """Add an effect to be performed at once."""
        self.effects.append(effect)

    def note(self, event, level="INFO", **fields):
        """Write a log line."""
        self.effects.append(Note(event=event, level=level, fields=fields))

    def count(self, name, reason, amount=1):
        """Increment a counter."""
        self.effects.append(Count(name=name, reason=reason, amount=amount))

    def observe(self, name, value_ms, kind=""):
        """Record a duration in a histogram."""
        self.effects.append(Observe(name=name, value_ms=value_ms, kind=kind))

    def usage_of(self, account_name):
        """Return the usage of a client account in this cell."""
        if account_name not in self.usages:
            self.usages[account_name] = AccountUsage(name=account_name)
        return self.usages[account_name]

    def queue(self, job):
        """Return the policy of a job's queue, or None if it is not known.

        Jobs of a removed queue go on under its last policy. It is unknown if the job
        was stored without it, or before this owner has read of its queue.
        """
        return self.queue_policy(job.queue_name)

    def queue_policy(self, name):
        """Return the present policy of a queue, the last one if it was removed."""
        return self.configuration.queue(name) or self.removed_queues.get(name)

    @property
    def asks_for_advice(self):
        """Return whether any queue of live jobs may need advice."""
        queues = chain(self.configuration.queues, self.removed_queues.values())
        return any(queue.advice is not None for queue in queues)

    @property
    def service_names(self):
        """Return the services that the configuration or a removed queue names."""
        queues = chain(self.configuration.queues, self.removed_queues.values())
        services = {service.name for service in self.configuration.services}
        return services | {queue.service for queue in queues}

    def account_policy(self, name):
        """Return the present policy of an account, the last one if it was removed."""
        return self.configuration.account(name) or self.removed_accounts.get(name)

    def is_most_urgent(self, job):
        """Return whether no queue of the same service is more urgent than a job's."""
        own = self.queue(job)
        if own is None:
            return False
        return all(
            queue.service != own.service or queue.priority >= own.priority
            for queue in self.configuration.queues
        )

    def service_of(self, job):
        """Return the service whose workers run a job."""
        queue = self.queue(job)
        return queue.service if queue is not None else ""
