"""What a worker stand-in writes down: events and the highest use."""

import time

from attrs import Factory, define

__all__ = ["HighWater"]


@define
class HighWater:
    """Hold the journal and the highest use of each resource."""

    events: list = Factory(list)
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    lookups: int = 0
    connections: int = 0

    def write(self, kind, attempt_id):
        """Write an event down."""
        self.events.append([time.time_ns() // 1_000_000, kind, attempt_id])

    def see_running(self, running):
        """Keep the highest use of resources."""
        running = list(running)
        self.cpu_milli = max(self.cpu_milli, sum(a.cpu_milli for a in running))
        self.memory_mb = max(self.memory_mb, sum(a.memory_mb for a in running))
        self.accelerators = max(self.accelerators, sum(a.accelerators for a in running))

    def see_endpoint(self, lookups, connections):
        """Keep the highest use of slots and connections."""
        self.lookups = max(self.lookups, lookups)
        self.connections = max(self.connections, connections)

    def document(self, running):
        """Return everything for a test."""
        return {
            "events": self.events,
            "running": running,
            "high": {
                "cpu_milli": self.cpu_milli,
                "memory_mb": self.memory_mb,
                "accelerators": self.accelerators,
                "lookups": self.lookups,
                "connections": self.connections,
            },
        }
