"""Choosing a worker for a task, by the weights of its class."""

from itertools import islice

__all__ = ["choose_worker"]

CANDIDATES = 8
SCAN_LIMIT = 64


def choose_worker(book, need, policy, now_ms):
    """Return the best worker with room, or None.

    Packing looks from the tightest fit upward, waiting from the emptiest down; a
    few candidates are scored, so that the cost does not grow with the workers.
    """
    packs = policy.packing_weight >= policy.waiting_weight
    order = book.tightest_first(need) if packs else book.emptiest_first(need)
    usable = (view for view in islice(order, SCAN_LIMIT) if _usable(view, need, now_ms))
    candidates = list(islice(usable, CANDIDATES))
    return max(candidates, key=lambda v: _score(v, need, policy), default=None)


def _usable(view, need, now_ms):
    return view.open_for_work and need.fits(view.free) and view.health.may_start(now_ms)


def _score(view, need, policy):
    """Weigh fullness for packing against idle room for waiting."""
    left = view.free - need
    fullness = 1.0 - left.share_of(view.total)
    balance = _balance(left, view.total)
    calm = 1.0 - view.lookups / max(1, view.slots)
    packing = policy.packing_weight * (fullness + balance)
    return packing + policy.waiting_weight * (calm - fullness)


def _balance(left, total):
    """Return 1 where the leftover processors and memory are in proportion."""
    cpu = left.cpu_milli / max(1, total.cpu_milli)
    memory = left.memory_mb / max(1, total.memory_mb)
    return 1.0 - abs(cpu - memory)
