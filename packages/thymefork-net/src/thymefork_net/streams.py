"""Non-blocking TCP sockets."""

import errno
import socket
import struct

from loguru import logger

__all__ = [
    "StreamBrokenError",
    "accept_all",
    "connect_failure",
    "open_listener",
    "open_stream",
    "receive",
    "reset_on_close",
    "send",
]

RECEIVE_BYTES = 262_144
# SO_LINGER with a timeout of 0: closing the socket discards unsent data.
_NO_LINGER = struct.pack("ii", 1, 0)
_CONNECTING_CODES = (0, errno.EINPROGRESS, errno.EWOULDBLOCK)


class StreamBrokenError(Exception):
    """Report why a stream ended, and whether the peer refused the connection."""

    def __init__(self, reason, *, refused=False):
        super().__init__(reason)
        self.refused = refused


def open_listener(address, backlog):
    """Return a non-blocking socket that listens at an address."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((address.host, address.port))
    listener.listen(backlog)
    return listener


def accept_all(listener):
    """Accept and yield all pending connections."""
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as failure:
            logger.bind(event="accept_failed").warning(
                "can't accept a connection: {}", failure
            )
            return
        _prepare(sock)
        yield sock


def open_stream(address):
    """Return a socket that starts to connect to an address.

    Raises: StreamBrokenError if connecting fails at once.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as failure:  # no descriptor is left
        raise _stream_error(failure) from failure
    _prepare(sock)
    try:
        code = sock.connect_ex((address.host, address.port))
    except (OSError, OverflowError, TypeError, ValueError) as failure:
        sock.close()
        raise StreamBrokenError(f"invalid address: {failure}") from failure
    if code in _CONNECTING_CODES:
        return sock
    sock.close()
    raise StreamBrokenError(_errno_name(code), refused=code == errno.ECONNREFUSED)


def _prepare(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_on_close(sock):
    """Make the socket discard unsent data and reset the connection on close."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def connect_failure(sock):
    """Return the StreamBrokenError of a failed connect, None if it succeeded."""
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if not code:
        return None
    return StreamBrokenError(_errno_name(code), refused=code == errno.ECONNREFUSED)


def receive(sock):
    """Return received bytes, None if there are none yet.

    Raises: StreamBrokenError if the peer closed the stream or it failed.
    """
    try:
        data = sock.recv(RECEIVE_BYTES)
    except BlockingIOError:
        return None
    except OSError as failure:
        raise _stream_error(failure) from failure
    if not data:
        raise StreamBrokenError("connection closed by the peer")
    return data


def send(sock, data):
    """Return how many bytes the socket accepted.

    Raises: StreamBrokenError if the stream failed.
    """
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0
    except OSError as failure:
        raise _stream_error(failure) from failure


def _stream_error(failure):
    reason = failure.strerror or type(failure).__name__
    return StreamBrokenError(reason, refused=failure.errno == errno.ECONNREFUSED)


def _errno_name(code):
    return errno.errorcode.get(code, str(code))
