"""All links between an instance and its peers."""

from loguru import logger

from ..steady import steady_ms
from ..streams import accept_all, open_listener
from .gen.ttypes import Hello
from .link import Link

__all__ = ["Links"]

BACKLOG = 128


class Links:
    """Open links on demand, accept those of peers, and pass messages to a listener.

    The listener has `on_message(link, message)` and `on_link_broken(link)`.
    """

    def __init__(self, *, sockets, instance, incarnation, address, listener):
        self.sockets = sockets
        self._hello = Hello(
            instance=instance, life=incarnation, host=address.host, port=address.port
        )
        self._listener = listener
        self._out = {}
        self._in = set()
        self._server = open_listener(address, BACKLOG)
        sockets.add(self._server, self)

    def open_link(self, address):
        """Return the link to an address, opened if necessary; None if that fails."""
        link = self._out.get(address)
        if link is None:
            link = Link.open(address=address, links=self)
            if link is not None:
                self._out[address] = link
                link.send(self._hello)
        return link

    def is_responsive(self, address, silence_ms):
        """Return whether a connected link to an address received data recently."""
        link = self._out.get(address)
        if link is None or not link.connected:
            return False
        return steady_ms() - link.last_received_ms < silence_ms

    def is_unresponsive(self, address, silence_ms):
        """Return whether a connected link to an address received nothing recently."""
        link = self._out.get(address)
        if link is None or not link.connected:
            return False
        return steady_ms() - link.last_received_ms >= silence_ms

    def responsive_fraction(self, silence_ms):
        """Return the fraction of connected links that received data recently."""
        links = [link for link in self.all if link.connected]
        cutoff_ms = steady_ms() - silence_ms
        responsive = sum(link.last_received_ms > cutoff_ms for link in links)
        return responsive / len(links) if links else 0.0

    @property
    def incoming(self):
        """Return the links that peers opened and sent their Hello on."""
        return [link for link in self._in if link.peer is not None]

    @property
    def all(self):
        """Return every open link."""
        return [*self._out.values(), *self._in]

    @property
    def sent_bytes(self):
        """Return the bytes sent on the open links."""
        return sum(link.sent_bytes for link in self.all)

    @property
    def queued_bytes(self):
        """Return the bytes that wait to be sent on the open links."""
        return sum(link.queued_bytes for link in self.all)

    def on_readable(self):
        """Accept pending connections of peers."""
        for sock in accept_all(self._server):
            link = Link(sock=sock, links=self)
            self._in.add(link)
            self.sockets.add(sock, link)

    def on_writable(self):
        """Do nothing: a listener has nothing to write."""

    def on_broken(self, reason):
        """Log a failure of the listener."""
        logger.bind(event="listener_failed").error("peer listener failed: {}", reason)

    def on_message(self, link, message):
        """Store the peer's Hello and pass each message to the listener."""
        if isinstance(message, Hello):
            link.peer = message
        self._listener.on_message(link, message)

    def on_link_broken(self, link, reason):
        """Remove a broken link and notify the listener."""
        if link.address is not None and self._out.get(link.address) is link:
            del self._out[link.address]
        self._in.discard(link)
        # Failed connection attempts are frequent while a peer is down.
        level = "INFO" if link.connected else "DEBUG"
        line = logger.bind(event="link_lost", peer=link.name)
        line.log(level, "link to {} closed: {}", link.name, reason)
        self._listener.on_link_broken(link)

    def close_unresponsive(self, silence_ms):
        """Close the links that have received nothing for `silence_ms`."""
        received_after_ms = steady_ms() - silence_ms
        for link in self.all:
            if link.last_received_ms < received_after_ms:
                link.on_broken(f"received nothing for {silence_ms:.0f} ms")
