"""A bidirectional connection to another instance."""

from loguru import logger

from thymefork_core.exceptions import ProtocolError

from ..address import Address
from ..frames import FrameReader, frame
from ..steady import steady_ms
from ..stream_connection import StreamConnection
from ..streams import StreamBrokenError, connect_failure, open_stream
from .envelope import decode, encode

__all__ = ["Link"]

# Well above the largest legitimate message, a job of 256 KiB.
MAX_MESSAGE_BYTES = 1_048_576
# Bounds the memory that a peer can take by not reading.
MAX_QUEUED_BYTES = 4_194_304


class Link(StreamConnection):
    """Own a socket to a peer; `peer` is its Hello once that was received."""

    def __init__(self, *, sock, links, address=None):
        self.address = address
        self.peer = None
        self.broken = False
        self.connected = address is None
        self.was_refused = False
        self.last_received_ms = steady_ms()
        self.sent_bytes = 0
        self._sock = sock
        self._links = links
        self._out = bytearray()
        self._reader = FrameReader(limit_bytes=MAX_MESSAGE_BYTES, peer=str(address))

    @classmethod
    def open(cls, *, address, links):
        """Start to connect to a peer; return None if connecting fails at once."""
        try:
            sock = open_stream(address)
        except StreamBrokenError as failure:
            line = logger.bind(event="link_refused", peer=str(address))
            line.debug("can't connect: {}", failure)
            return None
        link = cls(sock=sock, links=links, address=address)
        links.sockets.add(sock, link)
        links.sockets.watch_writes(sock, True)
        return link

    def send(self, message):
        """Queue a message and send as much as the socket accepts."""
        if self.broken:
            return
        data = frame(encode(message))
        self.sent_bytes += len(data)
        self._out += data
        if len(self._out) > MAX_QUEUED_BYTES:
            self.on_broken("send queue is full: the peer does not read")
        elif self.connected:
            self.on_writable()

    @property
    def written_bytes(self):
        """Return how many of `sent_bytes` the socket has accepted."""
        return self.sent_bytes - len(self._out)

    @property
    def queued_bytes(self):
        """Return how many bytes wait for the socket of a connected link."""
        return len(self._out) if self.connected else 0

    def on_writable(self):
        """Complete the connect and send queued bytes."""
        if not self.connected:
            failure = connect_failure(self._sock)
            if failure is not None:
                self._fail(failure)
                return
            self.connected = True
        if self._out:
            count = self._send_some(self._out)
            if count is None:
                return
            del self._out[:count]
        self._links.sockets.watch_writes(self._sock, bool(self._out))

    def on_readable(self):
        """Read from the socket and pass on complete messages."""
        data = self._receive()
        if data is None:
            return
        self.last_received_ms = steady_ms()
        try:
            for body in self._reader.feed(data):
                self._links.on_message(self, decode(body, peer=self.name))
        except ProtocolError as failure:
            self.on_broken(str(failure))

    def _fail(self, failure):
        self.was_refused = failure.refused
        self.on_broken(str(failure))

    @property
    def listener_address(self):
        """Return where the peer accepts links, None before its Hello."""
        if self.address is not None or self.peer is None:
            return self.address
        return Address(host=self.peer.host, port=self.peer.port)

    @property
    def name(self):
        """Return the peer's name, or its address before its Hello."""
        return self.peer.instance if self.peer is not None else str(self.address)

    def on_broken(self, reason):
        """Close the link and notify `links`."""
        if self.broken:
            return
        self.broken = True
        self._links.sockets.remove(self._sock)
        self._links.on_link_broken(self, reason)
