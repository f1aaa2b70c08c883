"""Who joins the group first once the store is back after an outage for all."""

from thymefork_net import steady_ms

__all__ = ["OwnerFirst"]

# Once the store answers this instance's reads for this long, an owner that still has
# not joined is cut off by itself: two of its tries to join, and the beat that tells.
PATIENCE_MS = 400.0


class OwnerFirst:
    """Let an owner that waits for the store, as this instance does, join before it.

    Memberships may have run out in the outage. Whoever joins first is dealt the cells.
    The owner knows the addresses of all workers; entries of theirs that lapsed come
    back up to two seconds later, and a successor can start nothing there until then.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon

    def waits(self):
        """Tell whether this instance's own join has to wait."""
        daemon = self._daemon
        if daemon.owners or not daemon.layout.cells or self._store_is_back():
            return False
        if not daemon.readiness.hears_owners:
            return False
        owners = map(daemon.directory.owner_of, range(daemon.layout.cells))
        return not all(daemon.peers.has_store(owner) for owner in owners)

    def _store_is_back(self):
        back_ms = self._daemon.store_answers_since_ms
        return back_ms is not None and steady_ms() - back_ms > PATIENCE_MS
