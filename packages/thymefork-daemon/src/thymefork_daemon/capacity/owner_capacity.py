"""How well an instance can own a cell, by its settings."""

from attrs import frozen

from .tier import Tier

__all__ = ["OwnerCapacity"]

# What deciding for one worker uses; docs/CAPACITY.md says how to find it for other
# hardware. The link carries both ways together.
MILLICORES_PER_WORKER = 2.0
LINK_MBPS_PER_WORKER = 0.03
MEMORY_MB_PER_WORKER = 0.15
# The interpreter with all modules loaded.
PROCESS_MEMORY_MB = 40.0
# A takeover reads and asks everything at once, and callers come in bursts of twice the
# usual rate.
HEADROOM_FACTOR = 2.0


@frozen(kw_only=True)
class OwnerCapacity:
    """Compare what an instance has with what a cell of so many workers needs.

    A figure that is 0 is unknown and counts as enough: an operator who tells nothing
    of a link has instances that are told apart by what is told. The cell is as large
    as cells are cut, not as it is now: workers come and go, and an instance's tier
    may not change with them. Units: cores, megabits a second, megabytes.
    """

    cores: float
    link_mbps: float
    memory_mb: float
    cell_workers: int

    @property
    def tier(self):
        """Return the tier.

        The processor alone tells the least from the others: a cell that can't be
        decided in time serves nobody, one whose bytes wait serves late.
        """
        if "processor" in self.lacks:
            return Tier.LEAST
        return Tier.PARTIAL if self.lacks else Tier.FULL

    @property
    def lacks(self):
        """Return the names of what does not hold a cell's peaks."""
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
