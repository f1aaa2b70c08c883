"""Configured limits of a client account."""

from attrs import frozen

__all__ = ["AccountPolicy", "ResourceLimit"]


@frozen(kw_only=True)
class ResourceLimit:
    """Limit the resources in use at once; 0 means unlimited, -1 allows nothing.

    Units: thousandths of a core, megabytes, accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def part(self, parts, whole):
        """Return the limit scaled to some of its parts; a bound never becomes 0."""
        return ResourceLimit(
            cpu_milli=_part(self.cpu_milli, parts.cpu, whole),
            memory_mb=_part(self.memory_mb, parts.memory, whole),
            accelerators=_part(self.accelerators, parts.accelerators, whole),
        )


def _part(bound, parts, whole):
    return bound * parts // whole or -1 if bound else 0


@frozen(kw_only=True)
class AccountPolicy:
    """Configuration of one client account.

    `key_digests` are the digests of its API keys. `weight` is the job rate share under
    overload, in jobs per second; 0 guarantees nothing.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    weight: float = 0.0
    limit: ResourceLimit = ResourceLimit()
