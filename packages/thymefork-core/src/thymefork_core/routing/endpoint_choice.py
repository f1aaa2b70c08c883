"""Choosing an endpoint for a lookup or a stream."""

__all__ = ["choose_endpoint", "choose_for_stream"]


def choose_endpoint(book):
    """Return the worker with most free slots, the faster one of equals, or None."""
    best, best_key = None, None
    for view in book.views.values():
        free = view.free_slots
        if free <= 0:
            continue
        key = (free, -view.latency_ms)
        if best_key is None or key > best_key:
            best, best_key = view, key
    return best


def choose_for_stream(book):
    """Return the worker with most connections left beside its slots, or None."""
    best = None
    for view in book.views.values():
        spare = view.free_connections - view.slots
        if not view.open_for_work or spare <= 0:
            continue
        if best is None or spare > best.free_connections - best.slots:
            best = view
    return best
