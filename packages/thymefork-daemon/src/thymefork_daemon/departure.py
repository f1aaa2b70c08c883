"""Orderly departure of an instance from the group."""

from contextlib import ExitStack

__all__ = ["MAX_STORE_WAIT_MS", "RELEASE_POLL_MS", "Departure"]

# Enough for two appends. A busy owner always has something left to store, and
# announces it to the other members instead.
MAX_STORE_WAIT_MS = 500.0
# Poll period while the cells cannot be released yet.
RELEASE_POLL_MS = 5.0


class Departure:
    """Release all cells at once and leave the group, temporarily or permanently."""

    def __init__(self, *, daemon):
        self._daemon = daemon

    @property
    def has_unstored_records(self):
        """Return whether an owner has records that wait to be stored."""
        return any(owner.has_unstored_records for owner in self._daemon.owners.values())

    def leave(self, reason, *, permanent):
        """Announce unstored run ends, end the owners and leave the group.

        Every step runs even if an earlier one raised; otherwise nobody would serve
        the cells.
        """
        daemon = self._daemon
        with ExitStack() as steps:  # runs in reverse order of registration
            steps.callback(daemon.owned_cells.update)
            steps.callback(daemon.membership.leave, self._on_left, permanent=permanent)
            steps.callback(daemon.owners.clear)
            for owner in list(daemon.owners.values()):
                steps.callback(owner.end, reason)
                steps.callback(owner.announce_ends)

    def _on_left(self, answer):
        self._daemon.peers.send_heartbeats()
        self._daemon.directory.refresh()
