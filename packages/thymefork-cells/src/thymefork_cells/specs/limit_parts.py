"""Fractions of a client account's limit, which cells lend to each other."""

from attrs import frozen

__all__ = ["PARTS_PER_CELL", "LimitParts"]

# Large enough that one part of any limit is less than a task needs.
PARTS_PER_CELL = 1_000_000


@frozen(kw_only=True)
class LimitParts:
    """Number of parts of a limit, for each resource.

    Cells exchange parts rather than resources, so that together they never hold more
    than the whole limit, even while they use different versions of it.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    @classmethod
    def all_of(cls, parts):
        """Return the same number of parts of each resource."""
        return cls(cpu=parts, memory=parts, accelerators=parts)

    @classmethod
    def from_row(cls, row):
        """Return the parts of a `row`."""
        cpu, memory, accelerators = row
        return cls(cpu=cpu, memory=memory, accelerators=accelerators)

    @classmethod
    def from_resources(cls, resources, limit, whole):
        """Return the parts that resources need, rounded up; 0 if unlimited."""
        return cls(
            cpu=_parts(resources.cpu_milli, limit.cpu_milli, whole),
            memory=_parts(resources.memory_mb, limit.memory_mb, whole),
            accelerators=_parts(resources.accelerators, limit.accelerators, whole),
        )

    @property
    def row(self):
        """Return the parts of each resource, in the order of messages and records."""
        return (self.cpu, self.memory, self.accelerators)

    def __bool__(self):
        return any(self.row)

    def __add__(self, other):
        return self._with(other, lambda own, others: own + others)

    def minus(self, other):
        """Return the difference, at least 0."""
        return self._with(other, lambda own, others: max(0, own - others))

    def elementwise_min(self, other):
        """Return the smaller of each resource."""
        return self._with(other, min)

    def elementwise_max(self, other):
        """Return the larger of each resource."""
        return self._with(other, max)

    def share(self, weight, of_weights):
        """Return the proportion of a weight, rounded up."""
        return LimitParts.from_row(
            [-(-parts * weight // of_weights) for parts in self.row]
        )

    def split(self, count):
        """Return one of equal shares, rounded down."""
        return LimitParts.from_row([parts // count for parts in self.row])

    def _with(self, other, combine):
        return LimitParts.from_row(map(combine, self.row, other.row))


def _parts(resources, bound, whole):
    return -(-resources * whole // bound) if bound else 0
