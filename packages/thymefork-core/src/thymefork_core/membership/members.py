"""The instances: the platform's list, corrected by heartbeats."""

from .entries import InstanceState

__all__ = ["Members"]

FAR_TURNS = 6


class Members:
    """Join the lagging instance list with what heartbeats say."""

    def __init__(self, *, name, hall, lease_ms):
        self.name = name
        self.hall = hall
        self.lease_ms = lease_ms
        self.listed = {}
        self.workers = {}
        self.heard = {}

    def update_list(self, instances, workers):
        """Take a new state of the platform's list."""
        self.listed = {entry.name: entry for entry in instances}
        self.workers = {entry.name: entry for entry in workers}

    def update_member(self, member):
        """Take a heartbeat."""
        self.heard[member.name] = member

    def worker_is_leaving(self, name):
        """Tell whether the list marks a worker as leaving or has dropped it."""
        if not self.workers:
            return False
        entry = self.workers.get(name)
        return entry is None or entry.state is InstanceState.LEAVING

    def worker_is_gone(self, name):
        """Tell whether the list has dropped a worker."""
        return bool(self.workers) and name not in self.workers

    def hall_peers(self):
        """Return the listed names of this hall's other instances."""
        return [
            entry.name
            for entry in self.listed.values()
            if entry.hall == self.hall and entry.name != self.name
        ]

    def other_halls(self):
        """Return the listed names of other halls' instances by hall."""
        halls = {}
        for entry in self.listed.values():
            if entry.hall != self.hall:
                halls.setdefault(entry.hall, []).append(entry.name)
        return halls

    def is_live(self, name, mono_ms):
        """Tell whether an instance was heard within the lease."""
        member = self.heard.get(name)
        return member is not None and self._is_fresh(member, mono_ms)

    def _is_fresh(self, member, mono_ms):
        """Allow other halls more time: they are heard by turns."""
        turns = 1 if member.hall == self.hall else FAR_TURNS
        return mono_ms - member.heard_mono_ms <= turns * self.lease_ms

    def live(self, mono_ms, hall=None):
        """Return members heard within the lease that are not leaving."""
        return [
            member
            for member in self.heard.values()
            if self._is_fresh(member, mono_ms)
            and not member.leaving
            and hall in (None, member.hall)
        ]

    def find(self, incarnation):
        """Return the member with an incarnation, or None."""
        for member in self.heard.values():
            if member.incarnation == incarnation:
                return member
        return None
