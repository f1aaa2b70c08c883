"""Amounts of a worker's resources."""

from attrs import frozen

__all__ = ["Resources"]

MOST_COPIES = 512


@frozen(kw_only=True, order=False)
class Resources:
    """Hold an amount of each resource.

    Units: thousandths of a processor, megabytes, whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other):
        """Add each amount."""
        return Resources(
            cpu_milli=self.cpu_milli + other.cpu_milli,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        """Subtract each amount."""
        return Resources(
            cpu_milli=self.cpu_milli - other.cpu_milli,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def __mul__(self, count):
        """Multiply each amount by a whole number."""
        return Resources(
            cpu_milli=self.cpu_milli * count,
            memory_mb=self.memory_mb * count,
            accelerators=self.accelerators * count,
        )

    def copies_in(self, room):
        """Return how many times this amount fits into the room."""
        counts = [
            max(0, have) // want
            for want, have in (
                (self.cpu_milli, room.cpu_milli),
                (self.memory_mb, room.memory_mb),
                (self.accelerators, room.accelerators),
            )
            if want
        ]
        return min(counts, default=MOST_COPIES)

    def fits(self, room):
        """Tell whether this amount fits into the room."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def share_of(self, whole):
        """Return the largest share that any one resource takes of the whole."""
        return max(
            self.cpu_milli / max(1, whole.cpu_milli),
            self.memory_mb / max(1, whole.memory_mb),
            self.accelerators / max(1, whole.accelerators),
        )
