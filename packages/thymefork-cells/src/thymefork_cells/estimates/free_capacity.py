"""Track the free capacity of a worker as runs end."""

__all__ = ["FreeCapacity"]


class FreeCapacity:
    """Hold free cpu, memory and accelerators of a worker."""

    def __init__(self, *, cpu_milli, memory_mb, accelerators):
        self.cpu_milli = cpu_milli
        self.memory_mb = memory_mb
        self.accelerators = accelerators

    @classmethod
    def of(cls, worker):
        """Return the current free capacity of a worker."""
        return cls(
            cpu_milli=worker.free_cpu_milli,
            memory_mb=worker.free_memory_mb,
            accelerators=worker.free_accelerators,
        )

    def release(self, spec):
        """Add the resources that a task of a step holds."""
        self.cpu_milli += spec.reserved_cpu_milli
        self.memory_mb += spec.memory_mb
        self.accelerators += spec.accelerators

    def allocate_all(self, spec, at_ms):
        """Allocate as many tasks as fit; return `at_ms` once for each."""
        times = []
        while len(times) < spec.count and self.fits(spec):
            self.cpu_milli -= spec.reserved_cpu_milli
            self.memory_mb -= spec.memory_mb
            self.accelerators -= spec.accelerators
            times.append(at_ms)
        return times

    def fits(self, spec):
        """Return whether one task of a step fits."""
        return (
            spec.reserved_cpu_milli <= self.cpu_milli
            and spec.memory_mb <= self.memory_mb
            and spec.accelerators <= self.accelerators
        )

    def gains_from(self, held, wanted):
        """Return whether releasing `held` provides a resource that `wanted` lacks."""
        return (
            (wanted.reserved_cpu_milli > self.cpu_milli and held.reserved_cpu_milli > 0)
            or (wanted.memory_mb > self.memory_mb and held.memory_mb > 0)
            or (wanted.accelerators > self.accelerators and held.accelerators > 0)
        )
