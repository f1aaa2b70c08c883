"""Parts of a client account's limit."""

from attrs import frozen

__all__ = ["PARTS_PER_CELL", "LimitParts"]

# A limit is cut into so many parts for each cell: each cell's own share is a whole
# number of them, and one is less of any limit than a task asks for.
PARTS_PER_CELL = 1_000_000


@frozen(kw_only=True)
class LimitParts:
    """Count parts of a limit, for each kind of room that it bounds.

    Parts rather than room pass between cells, so that what all cells hold is never more
    than the whole, whichever version of the limit each of them goes by.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    @classmethod
    def all_of(cls, parts):
        """Return as many parts of each kind."""
        return cls(cpu=parts, memory=parts, accelerators=parts)

    @classmethod
    def from_row(cls, row):
        """Return the parts that `row` was made of."""
        cpu, memory, accelerators = row
        return cls(cpu=cpu, memory=memory, accelerators=accelerators)

    @classmethod
    def from_resources(cls, room, limit, whole):
        """Return the parts that room takes, rounded up; none where there's no bound."""
        return cls(
            cpu=_parts(room.cpu_milli, limit.cpu_milli, whole),
            memory=_parts(room.memory_mb, limit.memory_mb, whole),
            accelerators=_parts(room.accelerators, limit.accelerators, whole),
        )

    @property
    def row(self):
        """Return the parts of each kind, in the order of messages and records."""
        return (self.cpu, self.memory, self.accelerators)

    def __bool__(self):
        return any(self.row)

    def __add__(self, other):
        return self._with(other, lambda own, others: own + others)

    def minus(self, other):
        """Return what is left without others, none at least."""
        return self._with(other, lambda own, others: max(0, own - others))

    def elementwise_min(self, other):
        """Return the lesser of each kind."""
        return self._with(other, min)

    def elementwise_max(self, other):
        """Return the greater of each kind."""
        return self._with(other, max)

    def share(self, weight, of_weights):
        """Return a share of them, rounded up."""
        return LimitParts.from_row(
            [-(-parts * weight // of_weights) for parts in self.row]
        )

    def split(self, count):
        """Return one of equal shares, rounded down."""
        return LimitParts.from_row([parts // count for parts in self.row])

    def _with(self, other, combine):
        return LimitParts.from_row(map(combine, self.row, other.row))


def _parts(room, bound, whole):
    return -(-room * whole // bound) if bound else 0
