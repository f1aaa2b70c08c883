"""One outgoing connection to a peer."""

import errno
import socket

__all__ = ["PeerConnection"]

MOST_QUEUED_BYTES = 16_777_216
_IN_PROGRESS = (0, errno.EINPROGRESS, errno.EWOULDBLOCK)


class PeerConnection:
    """Own one non-blocking socket and the bytes that wait for it."""

    def __init__(self, *, name, address, mono_ms):
        self.name = name
        self.address = address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connected = False
        self._began_mono_ms = mono_ms
        self._code = 0
        self._out = bytearray()

    def connect(self):
        """Begin to connect; True unless it failed at once."""
        self._code = self.sock.connect_ex(self.address)
        return self._code in _IN_PROGRESS

    @property
    def was_refused(self):
        """Tell whether the peer's machine answered that nothing listens."""
        if self.connected:
            return False
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return errno.ECONNREFUSED in (code, self._code)

    def finish_connect(self):
        """Return whether the connection is there."""
        if not self.connected:
            self._code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.connected = self._code == 0
        return self.connected

    def is_stuck(self, mono_ms, patience_ms):
        """Tell whether the connect takes too long or too much is queued."""
        late = not self.connected and mono_ms - self._began_mono_ms > patience_ms
        return late or len(self._out) > MOST_QUEUED_BYTES

    def queue(self, data):
        """Add bytes to send."""
        self._out += data

    @property
    def wants_write(self):
        """Tell whether there is something to send or a connect to finish."""
        return not self.connected or bool(self._out)

    def flush(self):
        """Send what the socket takes; False if the connection is broken."""
        if not self.connected or not self._out:
            return True
        try:
            count = self.sock.send(self._out)
        except BlockingIOError:
            return True
        except OSError:
            return False
        del self._out[:count]
        return True

    def is_closed_by_peer(self):
        """Read and drop what came; peers answer on connections of their own."""
        try:
            return not self.sock.recv(4096)
        except BlockingIOError:
            return False
        except OSError as failure:
            self._code = failure.errno
            return True

    def close(self):
        """Close the socket."""
        self.sock.close()
