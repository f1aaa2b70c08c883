"""The one way out of the group: store, tell, end, leave."""

from contextlib import ExitStack

__all__ = ["LEAVE_RETRY_MS", "MAX_STORE_WAIT_MS", "Departure"]

# An owner stores what it has heard before it gives its cells back: two appends. A busy
# owner always has something to store, and tells what is left.
MAX_STORE_WAIT_MS = 500.0
# Whether the cells can be given back is tried this often.
LEAVE_RETRY_MS = 5.0


class Departure:
    """Give all cells back at once and leave the group, for a while or for good."""

    def __init__(self, *, daemon):
        self._daemon = daemon

    @property
    def has_unstored_records(self):
        """Tell whether an owner has something that waits to be stored."""
        return any(owner.has_unstored_records for owner in self._daemon.owners.values())

    def leave(self, reason, *, permanent):
        """Tell the members what is not stored, end the owners and leave.

        Each step is taken though one before it failed: a cell that is kept half, or a
        group that is not left, would have nobody serve it.
        """
        daemon = self._daemon
        with ExitStack() as steps:  # the last one that is pushed comes first
            steps.callback(daemon.owned_cells.update)
            steps.callback(daemon.membership.leave, self._on_left, permanent=permanent)
            steps.callback(daemon.owners.clear)
            for owner in list(daemon.owners.values()):
                steps.callback(owner.end, reason)
                steps.callback(owner.announce_ends)

    def _on_left(self, answer):
        self._daemon.peers.send_heartbeats()
        self._daemon.directory.refresh()
