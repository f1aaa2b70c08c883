"""What the operators allow a client account."""

from attrs import frozen

__all__ = ["AccountPolicy", "RoomLimit"]


@frozen(kw_only=True)
class RoomLimit:
    """Bound what may run at once; 0 sets no bound.

    Units: thousandths of a core, megabytes, accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def share(self, parts):
        """Return an equal part of the limit; a bound never becomes none."""
        return RoomLimit(
            cpu_milli=_part(self.cpu_milli, parts),
            memory_mb=_part(self.memory_mb, parts),
            accelerators=_part(self.accelerators, parts),
        )


def _part(bound, parts):
    return max(1, bound // parts) if bound else 0


@frozen(kw_only=True)
class AccountPolicy:
    """Hold what the operators' configuration says of one client account.

    `key_digests` are of the keys that its callers send. `weight` is the account's
    share once all is full, in jobs a second; 0 promises nothing.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    weight: float = 0.0
    limit: RoomLimit = RoomLimit()
