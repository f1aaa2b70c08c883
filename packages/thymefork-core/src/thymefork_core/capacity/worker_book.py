"""All workers that this instance owns, indexed by free processors."""

from sortedcontainers import SortedList

from thymefork_core.model import Resources

__all__ = ["WorkerBook"]


class WorkerBook:
    """Keep the arithmetic of owned workers; nothing is given out twice."""

    def __init__(self):
        self.views = {}
        self._by_cpu = SortedList()
        self._place = {}
        self._by_slots = SortedList()
        self._slot_place = {}
        self._holders = set()

    def add(self, view):
        """Start to look after a worker."""
        self.views[view.name] = view
        self._index(view)
        self.touch(view)

    def remove(self, name):
        """Stop looking after a worker; return its view."""
        view = self.views.pop(name, None)
        if view is not None:
            self._by_cpu.discard(self._place.pop(name))
            self._by_slots.discard(self._slot_place.pop(name))
            self._holders.difference_update(view.taken)
        return view

    def get(self, name):
        """Return the view of an owned worker, or None."""
        return self.views.get(name)

    def take(self, name, key, resources):
        """Count resources of a worker as given out under a key."""
        if name in self.views:
            self._holders.add(key)
            self._change(name, lambda view: view.take(key, resources))

    def give_back(self, name, key):
        """Count what was given out under a key as free."""
        if name in self.views and key in self.views[name].taken:
            self._holders.discard(key)
            self._change(name, lambda view: view.give_back(key))

    def holds(self, key):
        """Tell whether something is given out under a key on any worker."""
        return key in self._holders

    def touch(self, view):
        """Index a worker's free slots anew, after anything about them changed."""
        if view.name not in self.views:
            return
        place = (view.free_slots, -view.latency_ms, view.name)
        before = self._slot_place.get(view.name)
        if place != before:
            if before is not None:
                self._by_slots.discard(before)
            self._by_slots.add(place)
            self._slot_place[view.name] = place

    def freest_endpoint(self):
        """Return the worker with most free slots, the faster one of equals."""
        while self._by_slots:
            free_slots, _, name = self._by_slots[-1]
            view = self.views[name]
            if view.free_slots == free_slots:
                return view if free_slots > 0 else None
            self.touch(view)
        return None

    def tightest_first(self, need):
        """Yield workers from the least free processors that suffice upward."""
        start = self._by_cpu.bisect_left((need.cpu_milli, ""))
        for _, name in self._by_cpu.islice(start):
            yield self.views[name]

    def emptiest_first(self, need):
        """Yield workers from the most free processors downward."""
        start = self._by_cpu.bisect_left((need.cpu_milli, ""))
        for _, name in self._by_cpu.islice(start, reverse=True):
            yield self.views[name]

    def free(self):
        """Return the sum of free resources on workers open for work."""
        return sum(
            (view.free for view in self.views.values() if view.open_for_work),
            Resources(),
        )

    def largest_free(self):
        """Return the free resources of the emptiest worker open for work."""
        for view in self.emptiest_first(Resources()):
            if view.open_for_work:
                return view.free
        return Resources()

    def _change(self, name, change):
        view = self.views[name]
        self._by_cpu.discard(self._place.pop(name))
        change(view)
        self._index(view)

    def _index(self, view):
        place = (view.free.cpu_milli, view.name)
        self._by_cpu.add(place)
        self._place[view.name] = place
