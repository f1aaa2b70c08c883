"""One poller for all sockets of the process."""

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from loguru import logger

__all__ = ["Sockets"]


class Sockets(BaseComponent):
    """Notify the owner of each socket when it can be read or written.

    An owner has `on_readable()`, `on_writable()` and `on_broken(reason)`.
    """

    channel = "sockets"

    def init(self):
        """Open the poller."""
        self._poller = EPoll().register(self)
        self._owners = {}

    @property
    def count(self):
        """Return the number of open sockets."""
        return len(self._owners)

    def add(self, sock, owner):
        """Watch a socket for input on behalf of its owner."""
        self._owners[sock] = owner
        self._poller.addReader(self, sock)

    def watch_writes(self, sock, wanted):
        """Start or stop watching a socket for writability."""
        watching = self._poller.isWriting(sock)
        if wanted and not watching:
            self._poller.addWriter(self, sock)
        elif watching and not wanted:
            self._poller.removeWriter(sock)

    def remove(self, sock):
        """Stop watching a socket and close it."""
        if self._owners.pop(sock, None) is not None:
            self._poller.discard(sock)
        sock.close()

    @handler("_read")
    def _on_read(self, sock):
        owner = self._owners.get(sock)
        if owner is not None:
            self._call_guarded(owner, owner.on_readable)

    @handler("_write")
    def _on_write(self, sock):
        owner = self._owners.get(sock)
        if owner is not None:
            self._call_guarded(owner, owner.on_writable)

    @handler("_disconnect", "_error")
    def _on_disconnect(self, sock, *args):
        owner = self._owners.get(sock)
        if owner is not None:
            owner.on_broken("disconnected")

    def _call_guarded(self, owner, step):
        try:
            step()
        except Exception:
            line = logger.opt(exception=True).bind(event="socket_handler_failed")
            line.error("socket handler of {} failed; closing it", type(owner).__name__)
            owner.on_broken("internal error")
