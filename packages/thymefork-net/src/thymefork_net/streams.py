"""Non-blocking TCP sockets: the same few steps for every kind of connection."""

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
# Linger for no time: a close, also at the end of the process, drops what is queued.
_NO_LINGER = struct.pack("ii", 1, 0)
_CONNECTING_CODES = (0, errno.EINPROGRESS, errno.EWOULDBLOCK)


class StreamBrokenError(Exception):
    """Tell why a stream is over, and whether the peer refused to connect."""

    def __init__(self, reason, *, refused=False):
        super().__init__(reason)
        self.refused = refused


def open_listener(address, backlog):
    """Return a socket that listens at an address."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((address.host, address.port))
    listener.listen(backlog)
    return listener


def accept_all(listener):
    """Yield the connections that wait."""
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as failure:
            logger.bind(event="accept_failed").warning("accept: {}", failure)
            return
        _prepare(sock)
        yield sock


def open_stream(address):
    """Begin to connect.

    Raises: StreamBrokenError if that fails at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    _prepare(sock)
    code = sock.connect_ex((address.host, address.port))
    if code in _CONNECTING_CODES:
        return sock
    sock.close()
    raise StreamBrokenError(_errno_name(code), refused=code == errno.ECONNREFUSED)


def _prepare(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_on_close(sock):
    """Let nothing that is still queued be delivered after the socket is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def connect_failure(sock):
    """Return why a connect has failed, as StreamBrokenError, or None."""
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if not code:
        return None
    return StreamBrokenError(_errno_name(code), refused=code == errno.ECONNREFUSED)


def receive(sock):
    """Return what has come; nothing yet is None.

    Raises: StreamBrokenError if the peer has closed or the stream is broken.
    """
    try:
        data = sock.recv(RECEIVE_BYTES)
    except BlockingIOError:
        return None
    except OSError as failure:
        raise _stream_error(failure) from failure
    if not data:
        raise StreamBrokenError("closed by the peer")
    return data


def send(sock, data):
    """Return how many bytes the socket took.

    Raises: StreamBrokenError if the stream is broken.
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
