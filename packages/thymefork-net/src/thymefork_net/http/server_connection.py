"""An incoming connection; requests are answered in the order of their arrival."""

from collections import deque
from urllib.parse import unquote

import httptools

from ..steady import steady_ms
from ..stream_connection import StreamConnection
from .incoming_request import IncomingRequest

__all__ = ["ServerConnection"]

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(StreamConnection):
    """Read requests from an accepted socket and write their answers."""

    def __init__(self, *, sock, server):
        self.closing = False
        self.last_active_ms = steady_ms()
        self._sock = sock
        self._server = server
        self._pending = deque()
        self._out = bytearray()
        self._close_after_output = False
        self._broken = False
        self._parser = httptools.HttpRequestParser(self)
        self._reset_request()

    def _reset_request(self):
        self._url = b""
        self._headers = {}
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._current = None
        self._refused = False
        self.request_began_ms = 0.0

    @property
    def is_idle(self):
        """Return whether no request is being read or answered."""
        return not self._pending and not self._out and not self.request_began_ms

    @property
    def open_requests(self):
        """Return the number of requests that are not fully answered.

        A request counts until the socket has accepted its whole answer, since the
        process may exit once none is open.
        """
        return len(self._pending) + bool(self._out)

    # Reading -----------------------------------------------------------------

    def on_readable(self):
        """Read from the socket and pass on complete requests."""
        data = self._receive()
        if data is None:
            return
        self.last_active_ms = steady_ms()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)

    def on_message_begin(self):
        """Start a new request."""
        self._reset_request()
        self.request_began_ms = steady_ms()

    def on_url(self, url):
        """Collect a part of the request target."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name, value):
        """Store a header; join the values of repeated ones to a list."""
        self._count_header(len(name) + len(value) + 4)
        name, value = name.decode("latin-1").lower(), value.decode("latin-1")
        if name in self._headers:
            value = f"{self._headers[name]}, {value}"
        self._headers[name] = value

    def _count_header(self, count):
        self._header_bytes += count
        if self._header_bytes > self._server.limits.header_bytes and not self._refused:
            self._refuse(431)

    def on_headers_complete(self):
        """Check the head; refuse a body that is declared too large."""
        if self._refused:
            return
        self._current = self._make_request()
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > self._server.limits.body_bytes:
            self._refuse_body()
        elif self._headers.get("expect", "").lower() == "100-continue":
            self._write(_CONTINUE)

    def _make_request(self):
        path, _, query = self._url.decode("latin-1").partition("?")
        request = IncomingRequest(
            connection=self,
            method=self._parser.get_method().decode("ascii"),
            path=unquote(path),
            query=query,
            headers=self._headers,
            arrived_ms=steady_ms(),
            keep_alive=self._parser.should_keep_alive(),
        )
        self._pending.append(request)
        return request

    def _refuse_body(self):
        self._refused = True
        self._server.refuse(self._current, 413)

    def on_body(self, data):
        """Collect a part of the body; discard the rest of a refused one."""
        self._body_bytes += len(data)
        if self._refused:
            return
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse_body()
            return
        self._body.append(data)

    def on_message_complete(self):
        """Pass the complete request to the server."""
        self.request_began_ms = 0.0
        if self._refused or self._current is None:
            return
        self._current.body = b"".join(self._body)
        self._server.on_request(self._current)

    def _refuse(self, status):
        """Refuse a request that can't be parsed or is too slow, and close."""
        self._refused = True
        self._close_after_output = True
        self.closing = True
        request = self._current or self._make_refused()
        self._server.refuse(request, status)

    def _make_refused(self):
        request = IncomingRequest(
            connection=self,
            method="",
            path="",
            query="",
            headers={},
            arrived_ms=steady_ms(),
            keep_alive=False,
        )
        self._pending.append(request)
        return request

    def time_out(self):
        """Answer 408 to a request that does not arrive completely in time."""
        self._refuse(408)

    # Answering ---------------------------------------------------------------

    def on_answered(self, request):
        """Send all answers that no earlier unanswered request holds back."""
        while self._pending and self._pending[0].answered:
            first = self._pending.popleft()
            if not first.keep_alive:
                self._close_after_output = True
            self._write(first.output)

    def _write(self, data):
        if self._broken:
            return
        self._out += data
        self.on_writable()

    def on_writable(self):
        """Send as much as the socket accepts."""
        if self._out:
            count = self._send_some(self._out)
            if count is None:
                return
            del self._out[:count]
            self.last_active_ms = steady_ms()
        if not self._out and self._close_after_output and not self._pending:
            self.on_broken("closed after the last answer")
            return
        self._server.sockets.watch_writes(self._sock, bool(self._out))

    def close_when_answered(self):
        """Close once no request is being read or answered."""
        self.closing = True
        if self.is_idle:
            self.on_broken("closed while idle")

    def on_broken(self, reason):
        """Close the socket and remove the connection from the server."""
        if self._broken:
            return
        self._broken = True
        self._server.forget(self)
        self._server.sockets.remove(self._sock)
