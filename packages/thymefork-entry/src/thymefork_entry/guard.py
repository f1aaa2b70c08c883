"""Bounds on what callers send, before the HTTP server sees it.

Each message is collected whole and handed to the server's parser in one piece, so
that it never holds a part of one. A second request that comes before the first
is answered is not read: the connection is closed after the first answer.
"""

from attrs import Factory, define
from circuits import BaseComponent, handler
from circuits.net.events import close, write

from thymefork_platform import mono_ms

__all__ = ["Guard"]

END_OF_HEAD = b"\r\n\r\n"
_TEXTS = {
    400: "Bad Request",
    408: "Request Timeout",
    411: "Length Required",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
}


@define(kw_only=True)
class _Partial:
    """Hold a message that is still coming.

    Units: `until_mono_ms` is on the monotonic clock.
    """

    until_mono_ms: int
    data: bytearray = Factory(bytearray)
    length: int | None = None


class Guard(BaseComponent):
    """Collect whole messages within limits; refuse others with a clear answer."""

    channel = "web"

    def init(self, limits, metrics, http):
        """Set the limits; `http` is the server's protocol component."""
        self._http = http
        self._limits = limits
        self._metrics = metrics
        self._partial = {}
        self._busy = {}

    @property
    def partial(self):
        """Return how many messages are still coming."""
        return len(self._partial)

    @handler("read", priority=10)
    def _on_read(self, event, sock, data):
        event.stop()
        if sock in self._busy:
            self._busy[sock] = True
            return
        partial = self._partial.get(sock)
        if partial is None:
            until_ms = mono_ms() + self._limits.receive_ms
            partial = _Partial(until_mono_ms=until_ms)
            self._partial[sock] = partial
        partial.data += data
        status = self._check(partial)
        if status is not None:
            self._refuse(sock, status)
        elif partial.length is not None and len(partial.data) >= partial.length:
            self._pass_on(sock, partial)

    def _check(self, partial):
        """Return the status of a refusal, or None."""
        if partial.length is not None:
            return None
        end = partial.data.find(END_OF_HEAD)
        head_bytes = len(partial.data) if end < 0 else end
        if head_bytes > self._limits.head_bytes:
            return 431
        if end < 0:
            return None
        return self._take_head(partial, end)

    def _take_head(self, partial, end):
        lines = bytes(partial.data[:end]).split(b"\r\n")[1:]
        fields = [line.partition(b":") for line in lines]
        names = [name.strip().lower() for name, _, _ in fields]
        if b"transfer-encoding" in names:
            return 411
        lengths = {
            value.strip()
            for name, _, value in fields
            if name.strip().lower() == b"content-length"
        }
        if len(lengths) > 1 or not all(v.isdigit() and len(v) < 16 for v in lengths):
            return 400
        body_bytes = int(lengths.pop()) if lengths else 0
        if body_bytes > self._limits.body_bytes:
            return 413
        partial.length = end + len(END_OF_HEAD) + body_bytes
        return None

    def _pass_on(self, sock, partial):
        del self._partial[sock]
        more = len(partial.data) > partial.length
        self._busy[sock] = more
        self._http._on_read(sock, bytes(partial.data[: partial.length]))

    def must_close(self, sock):
        """Tell whether the connection is to be closed after this answer."""
        return self._busy.get(sock, False)

    def answered(self, sock):
        """Let the next request in."""
        self._busy.pop(sock, None)

    def _refuse(self, sock, status):
        self._partial.pop(sock, None)
        self._busy[sock] = True
        self._metrics.increment(f"refusal.http_{status}")
        body = f'{{"error":"{_TEXTS[status].lower()}"}}'.encode()
        head = (
            f"HTTP/1.1 {status} {_TEXTS[status]}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body), self.channel)
        self.fire(close(sock), self.channel)

    @handler("disconnect", priority=10)
    def _on_disconnect(self, sock, *args):
        self._partial.pop(sock, None)
        self._busy.pop(sock, None)

    @handler("sweep", channel="*")
    def _on_sweep(self):
        late_ms = mono_ms()
        for sock, partial in list(self._partial.items()):
            if late_ms > partial.until_mono_ms:
                self._refuse(sock, 408)
