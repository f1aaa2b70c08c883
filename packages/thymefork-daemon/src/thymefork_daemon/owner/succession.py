"""What owners of a cell tell their successors beside the records in the store."""

from thymefork_cells import LeaseNotice, OwnerEnd
from thymefork_net import steady_ms

__all__ = ["Succession"]


class Succession:
    """Announce an owner's knowledge to possible successors, and inherit from before."""

    def __init__(self, *, cell_index, epoch, daemon):
        self._cell_index = cell_index
        self._epoch = epoch
        self._daemon = daemon

    def inherit(self, cell, now_ms):
        """Give a new owner's cell what the owners before it have announced."""
        daemon = self._daemon
        ends = daemon.heard_end_buffer.ends_before(self._cell_index, self._epoch)
        cell.inherited_ends.apply(ends, now_ms=now_ms)
        notices = daemon.lease_notices.notices_before(self._cell_index, self._epoch)
        for notice in notices:
            cell.inherited_leases.apply(notice)
        speeds = daemon.learned_speeds.of_cell(self._cell_index)
        cell.speed_learner.inherit(speeds, now_ms=now_ms)

    def announce_run_ends(self, ends):
        """Announce run ends that are not stored."""
        self._daemon.heard_end_buffer.announce(self._cell_index, self._epoch, ends)

    def announce_leases(self, notice):
        """Announce what is promised about leases."""
        self._daemon.lease_notices.announce(self._cell_index, notice)

    def announce_speeds(self, speeds):
        """Announce learned machine speeds."""
        self._daemon.learned_speeds.announce(self._cell_index, self._epoch, speeds)

    def announce_end(self, cell):
        """Announce that the owner gives no lease any more.

        `cell` is None if it never served, so that it has given none.
        """
        now_ms = steady_ms()
        if cell is not None:
            self.announce_leases(cell.leaving_workers.end_notice(now_ms))
            return
        end = OwnerEnd(ended_ms=now_ms, has_served=False, earlier_leases_until_ms=0.0)
        self.announce_leases(LeaseNotice(epoch=self._epoch, end=end))
