"""Links between entry instances: thrift messages over persistent TCP."""

import time

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from circuits.net.events import close
from circuits.net.sockets import TCPServer
from loguru import logger

from thymefork_core.exceptions import ProtocolError
from thymefork_core.hashing import stable_hash
from thymefork_core.node import messages as m
from thymefork_core.reasons import Retry
from thymefork_platform import BRAIN, deliver, mono_ms
from thymefork_wire import FrameReader, decode_envelope, encode_envelope, frame

from .peer_connection import PeerConnection

__all__ = ["Links"]

BACKOFF_MS = 200
LONGEST_BACKOFF_MS = 1200
CONNECT_PATIENCE_MS = 1000


class Links(BaseComponent):
    """Own one outgoing connection to each peer, and the server for incoming ones."""

    channel = "links"

    def init(self, place, name, message_bytes, metrics):
        """Listen for peers at a place."""
        self._name = name
        self._message_bytes = message_bytes
        self._metrics = metrics
        self._poller = None
        self._addresses = {}
        self._out = {}
        self._by_sock = {}
        self._readers = {}
        self._not_before = {}
        self._failures = {}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_messages = 0
        self.server = TCPServer((place.host, place.port), channel="links-in")
        self.server.register(self)

    def on_list(self, found):
        """Take the peers' addresses from the instance list."""
        self._addresses = {
            entry.name: (entry.host, entry.peer_port)
            for entry in found.instances
            if entry.name != self._name
        }
        for name in list(self._out):
            if self._out[name].address != self._addresses.get(name):
                self._drop(self._out[name], count=False)

    # Outgoing ----------------------------------------------------------------

    @handler("perform")
    def _on_perform(self, effect):
        connection = self._connection(effect.peer)
        if connection is None:
            return
        data = frame(encode_envelope(self._name, effect.message))
        self.sent_messages += 1
        self.sent_bytes += len(data)
        connection.queue(data)
        self._send_queued(connection)

    def _connection(self, name):
        connection = self._out.get(name)
        if connection is not None:
            if connection.is_stuck(mono_ms(), CONNECT_PATIENCE_MS):
                self._drop(connection)
                return None
            return connection
        address = self._addresses.get(name)
        if address is None or mono_ms() < self._not_before.get(name, 0):
            return None
        connection = PeerConnection(name=name, address=address, mono_ms=mono_ms())
        self._out[name] = connection
        self._by_sock[connection.sock] = connection
        if not connection.connect():
            self._drop(connection)
            return None
        self._poll.addReader(self, connection.sock)
        return connection

    @property
    def _poll(self):
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        return self._poller

    def _send_queued(self, connection):
        if not connection.flush():
            self._drop(connection)
            return
        writing = self._poll.isWriting(connection.sock)
        if connection.wants_write and not writing:
            self._poll.addWriter(self, connection.sock)
        elif writing and not connection.wants_write:
            self._poll.removeWriter(connection.sock)

    @handler("_write", priority=1)
    def _on_write(self, sock):
        connection = self._by_sock.get(sock)
        if connection is not None:
            if connection.finish_connect():
                self._failures.pop(connection.name, None)
                self._send_queued(connection)
            else:
                self._drop(connection)

    @handler("_read", priority=1)
    def _on_read(self, sock):
        connection = self._by_sock.get(sock)
        if connection is not None and connection.is_closed_by_peer():
            self._drop(connection)

    @handler("_disconnect", "_error", priority=1)
    def _on_gone(self, sock, *args):
        connection = self._by_sock.get(sock)
        if connection is not None:
            self._drop(connection)

    def _drop(self, connection, *, count=True):
        name = connection.name
        self._out.pop(name, None)
        if connection.was_refused:
            self.fire(deliver(m.PeerRefused(peer=name)), BRAIN)
        self._by_sock.pop(connection.sock, None)
        self._poll.discard(connection.sock)
        connection.close()
        failures = self._failures.get(name, 0) + 1
        self._failures[name] = failures
        most_ms = min(BACKOFF_MS * 2**failures, LONGEST_BACKOFF_MS)
        seed = f"{self._name}|{name}|{time.monotonic_ns()}"
        jitter_ms = stable_hash(seed) % max(1, most_ms // 2)
        self._not_before[name] = mono_ms() + most_ms // 2 + jitter_ms
        if count:
            self._metrics.increment(f"retry.{Retry.PEER_RECONNECT}")

    # Incoming ----------------------------------------------------------------

    @handler("read", channel="links-in")
    def _on_incoming(self, sock, data):
        reader = self._readers.get(sock)
        if reader is None:
            reader = FrameReader(limit_bytes=self._message_bytes, peer=_peer_of(sock))
            self._readers[sock] = reader
        self.received_bytes += len(data)
        try:
            for message in reader.feed(data):
                sender, body = decode_envelope(message, peer=_peer_of(sock))
                self.fire(deliver(m.PeerHeard(peer=sender, message=body)), BRAIN)
        except ProtocolError as failure:
            logger.bind(step=failure.step, peer=failure.peer).warning(
                "closed a peer's connection: {}", failure
            )
            self._metrics.increment("refusal.bad_peer_message")
            self._readers.pop(sock, None)
            self.fire(close(sock), "links-in")

    @handler("disconnect", channel="links-in")
    def _on_incoming_closed(self, sock):
        self._readers.pop(sock, None)

    @handler("error", channel="links-in")
    def _on_incoming_error(self, *args):
        """A broken incoming connection is closed by the server."""


def _peer_of(sock):
    try:
        host, port = sock.getpeername()
    except OSError:
        return "gone"
    return f"{host}:{port}"
