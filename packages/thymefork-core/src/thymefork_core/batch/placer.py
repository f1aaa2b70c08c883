"""Choosing a worker for a task, by the weights of its class."""

from itertools import islice

__all__ = ["choose_worker"]

CANDIDATES = 8
SCAN_LIMIT = 64


def choose_worker(book, need, policy, now_ms):
    """Return the best worker with room, or None.

    The search goes from the tightest fit upward and scores a few candidates, so
    that its cost does not grow with the number of workers.
    """
    order = islice(book.tightest_first(need), SCAN_LIMIT)
    usable = (view for view in order if _usable(view, need, now_ms))
    candidates = list(islice(usable, CANDIDATES))
    return max(candidates, key=lambda v: _score(v, need, policy), default=None)


def _usable(view, need, now_ms):
    return view.open_for_work and need.fits(view.free) and view.health.may_start(now_ms)


def _score(view, need, policy):
    """Weigh a tight fit, which serves packing, against a calm endpoint."""
    left = view.free - need
    fullness = 1.0 - left.share_of(view.total)
    calm = 1.0 - view.lookups / max(1, view.slots)
    return policy.packing_weight * fullness + policy.waiting_weight * calm
