"""An outgoing HTTP connection that carries one call at a time."""

import httptools

from ..stream_connection import StreamConnection
from ..streams import connect_failure, open_stream, reset_on_close
from .answer import HttpAnswer

__all__ = ["ClientConnection"]


class ClientConnection(StreamConnection):
    """Own a socket and report the outcome of each call to the pool."""

    def __init__(self, *, sockets, address, pool):
        self.address = address
        self.call = None
        self.idle_since_ms = 0.0
        self._sockets = sockets
        self._pool = pool
        self._out = b""
        self._connected = False
        self._sent_bytes = 0
        self._parser = None
        self._body = []
        self._complete = False
        self._keep_alive = False
        self._has_answered = False
        self._sock = None

    def connect(self):
        """Start to connect.

        The connection is reset on close, so that a call that was delayed by the network
        is not delivered after it timed out or this process ended.
        Raises: StreamBrokenError if connecting fails at once.
        """
        self._sock = open_stream(self.address)
        reset_on_close(self._sock)
        self._sockets.add(self._sock, self)

    def start(self, call):
        """Send a call on this connection."""
        self.call = call
        call.connection = self
        call.is_first_on_connection = not self._has_answered
        self._sent_bytes = 0
        self._body = []
        self._complete = False
        self._parser = httptools.HttpResponseParser(self)
        self._out = call.encode()
        if self._connected:
            self.on_writable()
        else:
            self._sockets.watch_writes(self._sock, True)

    def on_writable(self):
        """Complete the connect and send as much as the socket accepts."""
        if not self._connected:
            failure = connect_failure(self._sock)
            if failure is not None:
                self._fail(failure)
                return
            self._connected = True
        if self._out and not self._is_still_wanted():
            self._pool.on_unwanted(self)
            return
        if self._out:
            self._send()

    def _is_still_wanted(self):
        if self._sent_bytes or self.call.still_wanted is None:
            return True
        return self.call.still_wanted()

    def _send(self):
        count = self._send_some(self._out)
        if count is None:
            return
        self._sent_bytes += count
        self._out = self._out[count:]
        self._sockets.watch_writes(self._sock, bool(self._out))

    def on_readable(self):
        """Read from the socket and complete the call once its answer has arrived."""
        data = self._receive()
        if data is None:
            return
        if self.call is None:
            self.on_broken("received data while no call was open")
            return
        self._pool.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as failure:
            self.on_broken(f"invalid HTTP: {failure}")
            return
        if self._complete:
            self._finish()
        else:
            self._pool.on_partial_answer(self.call)

    def _finish(self):
        self._has_answered = True
        answer = HttpAnswer(
            status=self._parser.get_status_code(), body=b"".join(self._body)
        )
        self._pool.on_complete(self, answer, self._keep_alive)

    def on_body(self, data):
        """Collect a part of the answer's body."""
        self._body.append(data)

    def on_message_complete(self):
        """Mark the answer as complete."""
        self._complete = True
        # The parser resets this before the next message.
        self._keep_alive = self._parser.should_keep_alive()

    def on_broken(self, reason):
        """Fail the current call, if any, after the connection broke."""
        self._pool.on_broken(self, reason, sent=self._sent_bytes > 0)

    @property
    def sent_bytes(self):
        """Return how many bytes of the current call were sent."""
        return self._sent_bytes

    def close(self):
        """Close the socket."""
        self._sockets.remove(self._sock)
