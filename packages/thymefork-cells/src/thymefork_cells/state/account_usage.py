"""Resources that a client account uses in a cell."""

from attrs import define

__all__ = ["AccountUsage"]


@define(kw_only=True, eq=False)
class AccountUsage:
    """Sum the resources of an account's runs, until each is certain to be gone.

    Units: thousandths of a core, megabytes, accelerators.
    """

    name: str = ""
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, step, runs=1):
        """Add the resources of runs of a step."""
        self.cpu_milli += runs * step.reserved_cpu_milli
        self.memory_mb += runs * step.memory_mb
        self.accelerators += runs * step.accelerators

    def remove(self, step):
        """Subtract the resources of one run of a step."""
        self.cpu_milli -= step.reserved_cpu_milli
        self.memory_mb -= step.memory_mb
        self.accelerators -= step.accelerators

    def tasks_allowed(self, step, limit):
        """Return how many more tasks of a step a limit allows, at most its count."""
        wants = (
            (step.reserved_cpu_milli, self.cpu_milli, limit.cpu_milli),
            (step.memory_mb, self.memory_mb, limit.memory_mb),
            (step.accelerators, self.accelerators, limit.accelerators),
        )
        left = ((most - held) // want for want, held, most in wants if want and most)
        return max(0, min(left, default=step.count))
