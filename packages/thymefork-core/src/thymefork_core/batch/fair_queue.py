"""The order in which queued work is tried."""

from collections import deque

__all__ = ["FairQueue"]


class FairQueue:
    """Order work: urgent first, then the team with the least of its quota in use.

    Each team has one line for urgent and one for other work; removing a piece of
    work marks it, so that a wave of cancellations stays linear.
    """

    def __init__(self):
        self._lines = {}
        self._live = {}

    def __len__(self):
        return len(self._live)

    def __contains__(self, work_id):
        return work_id in self._live

    def add(self, spec):
        """Put work at the end of its team's line, once."""
        if spec.work_id not in self._live:
            line = self._lines.setdefault((not spec.urgent, spec.team), deque())
            line.append(spec.work_id)
        self._live[spec.work_id] = spec

    def remove(self, work_id):
        """Take work out; its place in the line is skipped later."""
        self._live.pop(work_id, None)

    def in_order(self, share_of_quota, limit):
        """Return up to a number of works in the order in which to try them."""
        chosen = []
        for key in sorted(self._lines, key=lambda k: (k[0], share_of_quota(k[1]))):
            self._trim(key)
            for work_id in self._lines.get(key, ()):
                if len(chosen) >= limit:
                    return chosen
                spec = self._live.get(work_id)
                if spec is not None:
                    chosen.append(spec)
        return chosen

    def specs(self):
        """Return all queued works."""
        return list(self._live.values())

    def _trim(self, key):
        line = self._lines[key]
        while line and line[0] not in self._live:
            line.popleft()
        if not line:
            del self._lines[key]
