"""The order in which queued work is tried."""

from itertools import islice

from sortedcontainers import SortedList

from thymefork_core.model import Resources

__all__ = ["FairQueue"]

PER_LINE = 64
STRETCH = 8.0
UNIT = Resources(cpu_milli=16_000, memory_mb=32_768, accelerators=4)


class FairQueue:
    """Order work: urgent first, then the team with the least of its quota in use.

    Each team has one line for urgent and one for other work. Within a line small
    work goes first, but each work counts as due at its arrival plus a multiple of
    its size, so that later small work can pass it only for a bounded time.
    """

    def __init__(self, *, stretch=STRETCH, unit=UNIT):
        self.stretch = stretch
        self.unit = unit
        self._lines = {}
        self._live = {}
        self._in_line = set()

    def __len__(self):
        return len(self._live)

    def __contains__(self, work_id):
        return work_id in self._live

    def add(self, spec, arrived_ms=0):
        """Put work into its team's line, once."""
        if spec.work_id not in self._in_line:
            self._in_line.add(spec.work_id)
            line = self._lines.setdefault((not spec.urgent, spec.team), SortedList())
            line.add((self._due_ms(spec, arrived_ms), spec.work_id))
        self._live[spec.work_id] = spec

    def _due_ms(self, spec, arrived_ms):
        size = spec.resources.share_of(self.unit) * spec.tasks
        return arrived_ms + self.stretch * size * spec.run_ms

    def remove(self, work_id):
        """Take work out; its place in the line is skipped later."""
        self._live.pop(work_id, None)

    def in_order(self, share_of_quota, limit):
        """Return up to a number of works in the order in which to try them.

        A team whose quota is in use is passed over, and no line gives more than a
        few, so that one team's long line does not hide the others.
        """
        shares = {key: share_of_quota(key[1]) for key in self._lines}
        chosen = []
        for key in sorted(shares, key=lambda k: (k[0], shares[k], k[1])):
            if shares[key] < 1.0 and len(chosen) < limit:
                chosen += self._first_of(key, min(PER_LINE, limit - len(chosen)))
        return chosen

    def _first_of(self, key, limit):
        self._trim(key)
        alive = (self._live.get(work_id) for _, work_id in self._lines.get(key, ()))
        return list(islice((spec for spec in alive if spec is not None), limit))

    def specs(self):
        """Return all queued works."""
        return list(self._live.values())

    def _trim(self, key):
        line = self._lines[key]
        while line and line[0][1] not in self._live:
            self._in_line.discard(line.pop(0)[1])
        if not line:
            del self._lines[key]
