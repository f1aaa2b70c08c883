"""Choosing an endpoint for a lookup or a stream."""

__all__ = ["choose_endpoint", "choose_for_stream"]


def choose_endpoint(book):
    """Return the worker with most free slots, the faster one of equals, or None."""
    return book.freest_endpoint()


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
