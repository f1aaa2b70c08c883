"""Common base of all connections on a TCP stream."""

from .streams import StreamBrokenError, receive, send

__all__ = ["StreamConnection"]


class StreamConnection:
    """Read and write `_sock`; `on_broken(reason)` ends a connection that fails."""

    def _receive(self):
        """Return received bytes, None if there are none or the connection ended."""
        try:
            return receive(self._sock)
        except StreamBrokenError as failure:
            self._fail(failure)
            return None

    def _send_some(self, data):
        """Return how many bytes the socket accepted, None if the connection ended."""
        try:
            return send(self._sock, data)
        except StreamBrokenError as failure:
            self._fail(failure)
            return None

    def _fail(self, failure):
        self.on_broken(str(failure))
