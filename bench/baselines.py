"""Baseline placement policies to compare with the scheduler's own."""

from itertools import islice

from thymefork_core.hashing import stable_hash

__all__ = ["POLICIES"]


def first_fit(book, need, policy, now_ms):
    """Choose the first worker by name that has capacity."""
    for name in sorted(book.views):
        view = book.views[name]
        if view.open_for_work and need.fits(view.free):
            return view
    return None


class TwoChoices:
    """Choose the less loaded of two pseudo-random workers (power of two choices)."""

    def __init__(self):
        self._count = 0

    def __call__(self, book, need, policy, now_ms):
        """Choose among the workers that have capacity."""
        open_views = [
            view
            for _, view in sorted(book.views.items())
            if view.open_for_work and need.fits(view.free)
        ]
        if not open_views:
            return None
        picks = [open_views[self._pick(len(open_views))] for _ in range(2)]
        return max(picks, key=lambda view: view.free.cpu_milli)

    def _pick(self, count):
        self._count += 1
        return stable_hash(str(self._count)) % count


def _use_own_policy(node):
    """Keep the node's own policy."""


def _use_first_fit(node):
    node.ctx.choose = first_fit
    node.home.queue.in_order = _arrival_order(node.home.queue)


def _use_two_choices(node):
    node.ctx.choose = TwoChoices()
    node.home.queue.in_order = _arrival_order(node.home.queue)


def _arrival_order(queue):
    """Return a queue order by arrival alone, ignoring team and urgency."""
    return lambda share_of_quota, limit: list(islice(queue.specs(), limit))


POLICIES = {
    "thymefork": _use_own_policy,
    "first fit": _use_first_fit,
    "two choices": _use_two_choices,
}
