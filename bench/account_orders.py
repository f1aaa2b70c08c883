"""Other orders of the steps of client accounts, to compare with the one that is used.

Each takes the place of `StepOrder._by_use` or `StepOrder.steps`.
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
    """Keep the order by jobs a second, urgency and objective."""
    return steps


def by_dominant_share(order, steps, now_ms):
    """Order all steps by what their accounts use, whatever jobs a second they sent."""
    order._dominant_shares.record_waiting(
        {step.job.account_name for step in steps}, now_ms
    )
    return order._starved_first(order._dominant_shares.fair_order(steps), now_ms)


class _FairQueue:
    """Follow start-time fair queueing: tags by core-milliseconds over weight.

    A step is charged for its estimated work as it is first seen; virtual time is the
    tag of the step that last began.
    """

    def __init__(self):
        self.virtual = 0.0
        self.ends = {}
        self.tags = {}

    def tag(self, order, step):
        """Return the virtual time at which a step's turn comes."""
        if step not in self.tags:
            self.tags[step] = self._first_tag(order, step)
        tag = self.tags[step]
        if any(task.runs for task in step.tasks):
            self.virtual = max(self.virtual, tag)
        return tag

    def _first_tag(self, order, step):
        name = step.job.account_name
        account = order._context.configuration.account(name)
        begin = max(self.virtual, self.ends.get(name, 0.0))
        work = step.spec.count * step.spec.cpu_milli * step.spec.estimated_ms
        self.ends[name] = begin + work / (account.weight or 1.0)
        return begin


# One to each order, which can't hold it.
_queues = {}


def _queue(order):
    return _queues.setdefault(id(order), (order, _FairQueue()))[1]


def fair_queueing(order, steps, now_ms):
    """Order all steps by start-time fair queueing."""
    queue = _queue(order)
    return sorted(steps, key=lambda step: queue.tag(order, step))


def fair_queueing_beyond_share(order, steps, now_ms):
    """Order what is beyond the shares in jobs by start-time fair queueing."""
    queue = _queue(order)
    within = [step for step in steps if not step.job.is_beyond_share]
    beyond = [step for step in steps if step.job.is_beyond_share]
    ranked = sorted(beyond, key=lambda step: queue.tag(order, step))
    return list(chain(within, ranked))


def by_dominant_share_within_priority(order, steps, now_ms):
    """Order what is within the shares by use, too, but behind the queue's priority."""
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
