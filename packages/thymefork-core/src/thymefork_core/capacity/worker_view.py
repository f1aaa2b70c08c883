"""What the owner of a worker knows of it."""

from attrs import Factory, define

from thymefork_core.model import Resources

from .worker_health import WorkerHealth

__all__ = ["WorkerView"]


@define(kw_only=True, eq=False)
class WorkerView:
    """Hold an owned worker's whole capacity and all that is given out of it.

    Units: slots are concurrent lookups, connections open ones.
    """

    name: str
    rack: str
    total: Resources
    slots: int
    connections: int
    epoch: int = 0
    verified: bool = False
    leaving: bool = False
    draining: bool = False
    reachable: bool = True
    taken: dict[str, Resources] = Factory(dict)
    used: Resources = Resources()
    lookups: int = 0
    streams: int = 0
    held_connections: int = 0
    latency_ms: float = 5.0
    health: WorkerHealth = Factory(WorkerHealth)

    @property
    def free(self):
        """Return the resources that are not given out."""
        return self.total - self.used

    @property
    def open_for_work(self):
        """Tell whether anything new may be sent here."""
        blocked = self.leaving or self.draining or not self.reachable
        return self.verified and not blocked

    @property
    def free_connections(self):
        """Return the connections that are not given out."""
        given = self.lookups + self.streams + self.held_connections
        return self.connections - given

    @property
    def free_slots(self):
        """Return how many lookups may be sent now."""
        if not self.open_for_work:
            return 0
        return max(0, min(self.slots - self.lookups, self.free_connections))

    def take(self, key, resources):
        """Count resources as given out, once for each key."""
        if key not in self.taken:
            self.taken[key] = resources
            self.used = self.used + resources

    def give_back(self, key):
        """Count resources as free again."""
        resources = self.taken.pop(key, None)
        if resources is not None:
            self.used = self.used - resources
