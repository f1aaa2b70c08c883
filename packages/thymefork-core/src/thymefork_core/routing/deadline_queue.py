"""A short queue of lookups, ordered by their deadlines."""

from sortedcontainers import SortedList

__all__ = ["DeadlineQueue"]


class DeadlineQueue:
    """Hold waiting lookups; the nearest deadline goes first."""

    def __init__(self):
        self._items = SortedList(key=lambda item: (item.deadline_ms, item.request_id))

    def __len__(self):
        return len(self._items)

    def add(self, item):
        """Let a lookup wait."""
        self._items.add(item)

    def pop_next(self):
        """Return the lookup with the nearest deadline, or None."""
        return self._items.pop(0) if self._items else None

    def pop_expired(self, now_ms):
        """Return the lookups whose deadline has passed."""
        gone = []
        while self._items and self._items[0].deadline_ms <= now_ms:
            gone.append(self._items.pop(0))
        return gone

    def drop(self, request_id):
        """Forget the lookup of a caller that has gone."""
        for item in self._items:
            if item.request_id == request_id:
                self._items.remove(item)
                return
