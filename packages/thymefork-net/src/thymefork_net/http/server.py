"""An HTTP/1.1 server."""

from loguru import logger

from ..steady import steady_ms
from ..streams import accept_all, open_listener
from .server_connection import ServerConnection
from .server_limits import ServerLimits

__all__ = ["HttpServer"]

BACKLOG = 512
# Interval between checks of all connections for timeouts.
SWEEP_MS = 500.0


class HttpServer:
    """Accept connections at an address and pass their requests to a handler."""

    def __init__(self, *, sockets, timers, address, on_request, on_refused=None):
        self.sockets = sockets
        self.limits = ServerLimits()
        self._on_request = on_request
        self._on_refused = on_refused
        self._connections = set()
        self._closing = False
        self._listener = open_listener(address, BACKLOG)
        sockets.add(self._listener, self)
        timers.every(SWEEP_MS, self._sweep)

    @property
    def open_requests(self):
        """Return the number of requests that are not fully answered."""
        return sum(connection.open_requests for connection in self._connections)

    @property
    def open_connections(self):
        """Return the number of open connections."""
        return len(self._connections)

    def on_readable(self):
        """Accept pending connections."""
        for sock in accept_all(self._listener):
            connection = ServerConnection(sock=sock, server=self)
            connection.closing = self._closing
            self._connections.add(connection)
            self.sockets.add(sock, connection)

    def on_writable(self):
        """Do nothing: a listener has nothing to write."""

    def on_broken(self, reason):
        """Log a failure of the listener."""
        logger.bind(event="listener_failed").error("HTTP listener failed: {}", reason)

    def on_request(self, request):
        """Pass a complete request to the handler; answer 502 if the handler raises."""
        try:
            self._on_request(request)
        except Exception:
            line = logger.opt(exception=True).bind(event="request_failed")
            line.error("request handler failed for {} {}", request.method, request.path)
            request.answer(502)

    def refuse(self, request, status):
        """Refuse a request that is invalid or exceeds a limit."""
        if self._on_refused is not None:
            self._on_refused(status)
        request.answer(status)

    def forget(self, connection):
        """Remove a closed connection."""
        self._connections.discard(connection)

    def drain(self):
        """Close each connection once its pending answers are sent."""
        self._closing = True
        for connection in list(self._connections):
            connection.close_when_answered()

    def _sweep(self):
        now_ms = steady_ms()
        for connection in list(self._connections):
            began_ms = connection.request_began_ms
            if began_ms and now_ms - began_ms > self.limits.header_timeout_ms:
                connection.time_out()
            elif connection.is_idle and (
                now_ms - connection.last_active_ms > self.limits.idle_timeout_ms
            ):
                connection.on_broken("idle timeout")
