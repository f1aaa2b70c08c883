"""The library's HTTP server, with its start told to the structured log."""

from circuits import handler
from circuits.web.servers import BaseServer
from loguru import logger

__all__ = ["HttpServer"]


class HttpServer(BaseServer):
    """Listen for callers without a banner."""

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        host, port = bind
        logger.bind(step="listen", peer=f"{host}:{port}").info("ready for callers")
