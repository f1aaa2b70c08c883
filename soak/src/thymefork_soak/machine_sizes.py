"""Workers of unlike speed, and instances of unlike size."""

import random

from attrs import frozen

__all__ = ["DEFAULT_SIZE", "InstanceSize", "instance_sizes", "worker_speeds"]

# Of three workers, about one is over twice as fast as the others, as where old machines
# stand beside new ones.
SPEEDS = (0.7, 0.7, 1.7)


@frozen(kw_only=True)
class InstanceSize:
    """Hold what the settings tell a daemon of its machine.

    Units: cores, megabytes, megabits a second; 0 where the settings tell nothing.
    """

    cores: float = 1.0
    memory_mb: int = 0
    link_mbps: int = 0

    def settings(self):
        """Return the fields of the settings file."""
        fields = {"limits.cpu_share": "1", "limits.cores": f"{self.cores:g}"}
        if self.memory_mb:
            fields["limits.memory_mb"] = str(self.memory_mb)
        if self.link_mbps:
            fields["limits.link_mbps"] = str(self.link_mbps)
        return fields


DEFAULT_SIZE = InstanceSize()
LARGE = InstanceSize(cores=2.0, memory_mb=552, link_mbps=200)
NARROW = InstanceSize(cores=1.3, memory_mb=440, link_mbps=10)
SMALL = InstanceSize(cores=0.4, memory_mb=160, link_mbps=10)


def worker_speeds(count, seed):
    """Return how many times as fast as usual each worker is."""
    drawn = random.Random(f"{seed} speeds")
    return [drawn.choice(SPEEDS) for _ in range(count)]


def instance_sizes(count, seed):
    """Return the sizes of the daemons in any order; one at least is large."""
    drawn = random.Random(f"{seed} sizes")
    others = [drawn.choice((LARGE, NARROW, SMALL)) for _ in range(count - 1)]
    sizes = [LARGE, *others]
    drawn.shuffle(sizes)
    return sizes
