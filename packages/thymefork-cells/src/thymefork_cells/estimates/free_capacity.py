"""What would be free on a worker if some of its runs ended."""

__all__ = ["FreeCapacity"]


class FreeCapacity:
    """Follow what is free on a worker while its runs end."""

    def __init__(self, *, cpu_milli, memory_mb, accelerators):
        self.cpu_milli = cpu_milli
        self.memory_mb = memory_mb
        self.accelerators = accelerators

    @classmethod
    def of(cls, worker):
        """Return what is free on a worker now."""
        return cls(
            cpu_milli=worker.free_cpu_milli,
            memory_mb=worker.free_memory_mb,
            accelerators=worker.free_accelerators,
        )

    def release(self, spec):
        """Add what a task of a step holds."""
        self.cpu_milli += spec.reserved_cpu_milli
        self.memory_mb += spec.memory_mb
        self.accelerators += spec.accelerators

    def allocate_all(self, spec, at_ms):
        """Take room for as many tasks as fit; return the moment once for each."""
        times = []
        while len(times) < spec.count and self.fits(spec):
            self.cpu_milli -= spec.reserved_cpu_milli
            self.memory_mb -= spec.memory_mb
            self.accelerators -= spec.accelerators
            times.append(at_ms)
        return times

    def fits(self, spec):
        """Tell whether there is room for one task of a step."""
        return (
            spec.reserved_cpu_milli <= self.cpu_milli
            and spec.memory_mb <= self.memory_mb
            and spec.accelerators <= self.accelerators
        )

    def gains_from(self, held, wanted):
        """Tell whether a task that wants `wanted` gains by the end of another."""
        return (
            (wanted.reserved_cpu_milli > self.cpu_milli and held.reserved_cpu_milli > 0)
            or (wanted.memory_mb > self.memory_mb and held.memory_mb > 0)
            or (wanted.accelerators > self.accelerators and held.accelerators > 0)
        )
