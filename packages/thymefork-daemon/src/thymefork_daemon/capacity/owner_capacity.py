"""Suitability of an instance as an owner, derived from its settings."""

from attrs import frozen

from .tier import Tier

__all__ = ["OwnerCapacity"]

# Usage per worker of a cell; docs/CAPACITY.md describes how to determine it for other
# hardware. The link figure covers both directions together.
MILLICORES_PER_WORKER = 2.0
LINK_MBPS_PER_WORKER = 0.03
MEMORY_MB_PER_WORKER = 0.15
# Memory of the interpreter with all modules loaded.
PROCESS_MEMORY_MB = 40.0
# Covers takeovers and bursts of twice the usual request rate.
HEADROOM_FACTOR = 2.0


@frozen(kw_only=True)
class OwnerCapacity:
    """Compare an instance's resources with what a cell of a given size needs.

    A value of 0 is unknown and counts as sufficient. `cell_workers` is the size for
    which cells are laid out rather than the current number of workers, so that the tier
    stays constant.

    Units: cores, Mbit/s, MB.
    """

    cores: float
    link_mbps: float
    memory_mb: float
    cell_workers: int

    @property
    def tier(self):
        """Return the tier.

        Only a shortage of processor time leads to the lowest tier: a cell without
        enough of it serves no request in time, while a slow link or little memory only
        delays some.
        """
        if "processor" in self.lacks:
            return Tier.LEAST
        return Tier.PARTIAL if self.lacks else Tier.FULL

    @property
    def lacks(self):
        """Return the names of the resources that can't carry a cell's peak load."""
        rows = (
            ("processor", self.cores * 1000.0, self._peak_millicores),
            ("link", self.link_mbps, self._peak_link_mbps),
            ("memory", self.memory_mb, self._peak_memory_mb),
        )
        return tuple(name for name, has, needs in rows if has and has < needs)

    @property
    def _peak_millicores(self):
        return MILLICORES_PER_WORKER * self.cell_workers * HEADROOM_FACTOR

    @property
    def _peak_link_mbps(self):
        return LINK_MBPS_PER_WORKER * self.cell_workers * HEADROOM_FACTOR

    @property
    def _peak_memory_mb(self):
        usual_mb = PROCESS_MEMORY_MB + MEMORY_MB_PER_WORKER * self.cell_workers
        return usual_mb * HEADROOM_FACTOR
