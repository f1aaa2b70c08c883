"""What connections of every kind do alike with their socket."""

from .streams import StreamBrokenError, receive, send

__all__ = ["StreamConnection"]


class StreamConnection:
    """Read and write `_sock`; `on_broken(reason)` ends a connection that fails."""

    def _receive(self):
        """Return what has come; None where nothing has, or the connection ended."""
        try:
            return receive(self._sock)
        except StreamBrokenError as failure:
            self._fail(failure)
            return None

    def _send_some(self, data):
        """Return how many bytes the socket took, None where the connection ended."""
        try:
            return send(self._sock, data)
        except StreamBrokenError as failure:
            self._fail(failure)
            return None

    def _fail(self, failure):
        self.on_broken(str(failure))
