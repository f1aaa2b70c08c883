"""Alternative orders of the steps of client accounts, for comparison.

Each replaces `StepOrder._by_use` or `StepOrder.steps`.
"""

from itertools import chain

__all__ = [
    "by_dominant_share",
    "by_dominant_share_within_priority",
    "by_job_rate_only",
    "fair_queueing",
    "fair_queueing_beyond_share",
]


def by_job_rate_only(order, steps, now_ms):
    """Keep the order by job rate, priority and objective."""
    return steps


def by_dominant_share(order, steps, now_ms):
    """Order all steps by their accounts' dominant shares, ignoring job rates."""
    order._dominant_shares.record_waiting(
        {step.job.account_name for step in steps}, now_ms
    )
    return order._starved_first(order._dominant_shares.fair_order(steps), now_ms)


class _FairQueue:
    """Start-time fair queueing, with tags in core-milliseconds over weight.

    A step is charged for its estimated work when first seen; the virtual time is the
    tag of the step that started last.
    """

    def __init__(self):
        self.virtual_time = 0.0
        self.end_tags = {}
        self.tags = {}

    def tag(self, order, step):
        """Return a step's start tag in virtual time."""
        if step not in self.tags:
            self.tags[step] = self._first_tag(order, step)
        tag = self.tags[step]
        if any(task.runs for task in step.tasks):
            self.virtual_time = max(self.virtual_time, tag)
        return tag

    def _first_tag(self, order, step):
        name = step.job.account_name
        account = order._context.configuration.account(name)
        begin = max(self.virtual_time, self.end_tags.get(name, 0.0))
        work = step.spec.count * step.spec.cpu_milli * step.spec.estimated_ms
        self.end_tags[name] = begin + work / (account.weight or 1.0)
        return begin


# By the id of the order, which has slots and cannot hold its queue.
_queues = {}


def _queue(order):
    return _queues.setdefault(id(order), (order, _FairQueue()))[1]


def fair_queueing(order, steps, now_ms):
    """Order all steps by start-time fair queueing."""
    queue = _queue(order)
    return sorted(steps, key=lambda step: queue.tag(order, step))


def fair_queueing_beyond_share(order, steps, now_ms):
    """Order steps beyond their accounts' job rates by start-time fair queueing."""
    queue = _queue(order)
    within = [step for step in steps if not step.job.is_beyond_share]
    beyond = [step for step in steps if step.job.is_beyond_share]
    ranked = sorted(beyond, key=lambda step: queue.tag(order, step))
    return list(chain(within, ranked))


def by_dominant_share_within_priority(order, steps, now_ms):
    """Order by dominant share also within the job rates, after the queue's priority."""
    shares = order._dominant_shares
    shares.record_waiting(
        {step.job.account_name for step in steps if step.ready}, now_ms
    )
    groups = {}
    for step in steps:
        beyond = step.job.is_beyond_share
        priority = 0 if beyond else order._context.queue(step.job).priority
        groups.setdefault((beyond, priority), []).append(step)
    ranked = chain.from_iterable(shares.fair_order(group) for group in groups.values())
    return order._starved_first(list(ranked), now_ms)
