"""What the operators allow a client account."""

from attrs import frozen

__all__ = ["AccountPolicy", "ResourceLimit"]


@frozen(kw_only=True)
class ResourceLimit:
    """Bound what may run at once; 0 sets no bound, -1 allows nothing.

    Units: thousandths of a core, megabytes, accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def part(self, parts, whole):
        """Return what parts of the whole limit allow; a bound never becomes none."""
        return ResourceLimit(
            cpu_milli=_part(self.cpu_milli, parts.cpu, whole),
            memory_mb=_part(self.memory_mb, parts.memory, whole),
            accelerators=_part(self.accelerators, parts.accelerators, whole),
        )


def _part(bound, parts, whole):
    return bound * parts // whole or -1 if bound else 0


@frozen(kw_only=True)
class AccountPolicy:
    """Hold what the operators' configuration says of one client account.

    `key_digests` are of the keys that its callers send. `weight` is the account's
    share once all is full, in jobs a second; 0 promises nothing.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    weight: float = 0.0
    limit: ResourceLimit = ResourceLimit()
