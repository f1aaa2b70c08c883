"""One outgoing connection that carries one call at a time."""

import httptools

from ..stream_connection import StreamConnection
from ..streams import connect_failure, open_stream, reset_on_close
from .answer import HttpAnswer

__all__ = ["ClientConnection"]


class ClientConnection(StreamConnection):
    """Own one socket; tell the pool about each call's end."""

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
        """Begin to connect.

        A call that a cut holds up must not arrive after it was given up, or after
        this process has ended: a dead member would join its group again.
        Raises: StreamBrokenError if that fails at once.
        """
        self._sock = open_stream(self.address)
        reset_on_close(self._sock)
        self._sockets.add(self._sock, self)

    def start(self, call):
        """Carry a call."""
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
        """Finish the connect and send what the socket takes."""
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
        """Read what came and finish the call once its answer is whole."""
        data = self._receive()
        if data is None:
            return
        if self.call is None:
            self.on_broken("an answer without a call")
            return
        self._pool.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as failure:
            self.on_broken(f"not HTTP: {failure}")
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
        """Take a part of the answer's body."""
        self._body.append(data)

    def on_message_complete(self):
        """Note that the answer is whole."""
        self._complete = True
        # The parser forgets this once it expects the next message.
        self._keep_alive = self._parser.should_keep_alive()

    def on_broken(self, reason):
        """Fail the call, if any, since the connection is gone."""
        self._pool.on_broken(self, reason, sent=self._sent_bytes > 0)

    @property
    def sent_bytes(self):
        """Return how much of the current call has left."""
        return self._sent_bytes

    def close(self):
        """Close the socket."""
        self._sockets.remove(self._sock)
