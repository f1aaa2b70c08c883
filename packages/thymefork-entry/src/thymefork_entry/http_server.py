"""The library's HTTP server, with its start told to the structured log."""

from circuits import handler
from circuits.web.servers import BaseServer
from loguru import logger

__all__ = ["HttpServer"]


class HttpServer(BaseServer):
    """Listen for callers without a banner."""

    @property
    def has_unsent(self):
        """Tell whether bytes wait for a caller's socket."""
        return any(self.server._buffers.values())

    @handler("write", priority=100)
    def _drop_for_closed(self, event, sock, data):
        """Drop output for a caller whose socket was closed while the event waited.

        The library would watch the closed descriptor and fail.
        """
        if sock.fileno() < 0:
            event.stop()

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        host, port = bind
        logger.bind(step="listen", peer=f"{host}:{port}").info("ready for callers")
