"""One outgoing connection that carries one call at a time."""

import errno
import socket

from circuits.web.parsers import HttpParser

from .http_calls import HttpResult

__all__ = ["HttpConnection"]

RECEIVE_BYTES = 65536
_IN_PROGRESS = (0, errno.EINPROGRESS, errno.EWOULDBLOCK)
_RESPONSE = 1


class HttpConnection:
    """Own one non-blocking socket; the pool's poller says when it is ready."""

    def __init__(self, *, address, mono_ms):
        self.address = address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.call = None
        self.connected = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.began_mono_ms = mono_ms
        self.idle_since_mono_ms = mono_ms
        self._out = b""
        self._parser = None
        self._head_given = False
        self._left_bytes = None

    def connect(self):
        """Begin to connect; True unless it failed at once."""
        code = self.sock.connect_ex((self.address.host, self.address.port))
        return code in _IN_PROGRESS

    def start(self, call, mono_ms):
        """Take a call; it is sent once the connection is there."""
        self.call = call
        self.began_mono_ms = mono_ms
        self.sent_bytes = 0
        self._parser = HttpParser(_RESPONSE, False)
        self._head_given = False
        self._left_bytes = None
        self._out = _request_bytes(call)

    @property
    def wants_write(self):
        """Tell whether there is something to send or a connect to finish."""
        return not self.connected or bool(self._out)

    def on_writable(self, mono_ms):
        """Finish the connect and send; return an error text or None."""
        if not self.connected:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                return errno.errorcode.get(code, str(code))
            self.connected = True
        if not self._out or self.call is None:
            return None
        bound_ms = self.call.send_before_mono_ms
        if bound_ms and not self.sent_bytes and mono_ms >= bound_ms:
            return "the time to send has passed"
        try:
            count = self.sock.send(self._out)
        except BlockingIOError:
            return None
        except OSError as failure:
            return failure.strerror or "send failed"
        self.sent_bytes += count
        self._out = self._out[count:]
        return None

    def on_readable(self):
        """Read what came; return the finished result, an error text or None."""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return None
        except OSError as failure:
            return failure.strerror or "receive failed"
        if not data:
            return "closed by the peer"
        self.received_bytes += len(data)
        if self.call is None:
            return "an answer without a call"
        return self._feed(data)

    def _feed(self, data):
        parser = self._parser
        parser.execute(data, len(data))
        if parser.errno is not None:
            return "an answer that is not HTTP"
        if not parser.is_headers_complete():
            return None
        length = parser.get_headers().get("Content-Length")
        if length is None and not parser.is_chunked():
            return "an answer without a length"
        if self.call.on_part is not None:
            self._pass_on(parser)
        if not self._is_complete(parser, length):
            return None
        body = b"" if self.call.on_part is not None else parser.recv_body()
        return HttpResult(status=parser.get_status_code(), body=body, sent=True)

    def _is_complete(self, parser, length):
        return length == "0" or parser.is_message_complete()

    def _pass_on(self, parser):
        if not self._head_given:
            self._head_given = True
            self.call.on_head(parser.get_status_code())
        part = parser.recv_body()
        if part:
            self.call.on_part(part)

    @property
    def can_be_reused(self):
        """Tell whether another call may follow on this connection."""
        return self._parser is not None and self._parser.should_keep_alive()

    def close(self):
        """Close the socket."""
        self.sock.close()


def _request_bytes(call):
    head = (
        f"{call.method} {call.target} HTTP/1.1\r\n"
        f"Host: {call.address.host}\r\n"
        f"Content-Length: {len(call.body)}\r\n\r\n"
    )
    return head.encode("ascii") + call.body
