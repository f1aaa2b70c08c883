"""Workers of different speeds and instances of different sizes."""

import random

from attrs import frozen

__all__ = ["DEFAULT_SIZE", "InstanceSize", "instance_sizes", "worker_speeds"]

# A mix of old and new machines.
SPEEDS = (0.7, 0.7, 1.7)


@frozen(kw_only=True)
class InstanceSize:
    """Hold the machine size in a daemon's settings.

    Units: cores, megabytes, megabits a second; 0 if the settings omit the value.
    """

    cores: float = 1.0
    memory_mb: int = 0
    link_mbps: int = 0

    def settings(self):
        """Return the entries of the settings file."""
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
    """Return the relative speed of each worker."""
    rng = random.Random(f"{seed} speeds")
    return [rng.choice(SPEEDS) for _ in range(count)]


def instance_sizes(count, seed):
    """Return shuffled sizes of the daemons, at least one of them large."""
    rng = random.Random(f"{seed} sizes")
    others = [rng.choice((LARGE, NARROW, SMALL)) for _ in range(count - 1)]
    sizes = [LARGE, *others]
    rng.shuffle(sizes)
    return sizes
