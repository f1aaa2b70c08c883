"""A small HTTP server for the stand-ins, by circuits.web."""

from urllib.parse import parse_qs

import orjson
from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from circuits.net.events import close, write
from circuits.web.events import response
from circuits.web.servers import BaseServer

from thymefork_entry.guard import Guard
from thymefork_entry.metrics import Metrics
from thymefork_entry.quiet import quiet
from thymefork_entry.settings import HttpLimits

from .later import Later

__all__ = ["JsonServer"]

LIMITS = HttpLimits(body_bytes=64 * 1024 * 1024)


class JsonServer(BaseComponent):
    """Route requests to methods; answers may be sent at once or later."""

    channel = "standin"

    def init(self, host, port):
        """Listen at a place."""
        EPoll().register(self)
        metrics = Metrics()
        self.later = Later().register(self)
        self.server = BaseServer((host, port), display_banner=False).register(self)
        self.guard = Guard(LIMITS, metrics, self.server.http).register(self)
        self.connections = set()

    @handler("request", channel="web", priority=1)
    def _on_request(self, event, request, answer):
        quiet(event)
        event.stop()
        parts = request.path.strip("/").split("/")
        query = {k: v[0] for k, v in parse_qs(request.qs).items()}
        name = f"{request.method.lower()}_{parts[0]}"
        route = getattr(self, name, None)
        if route is None:
            self.reply(answer, {"error": f"no route {name}"}, status=404)
        else:
            raw = request.body.read()
            body = orjson.loads(raw) if raw[:1] in (b"{", b"[") else raw
            route(answer, parts[1:], query, body)
        return True

    def reply(self, answer, document, status=200):
        """Answer with JSON, or with bytes as they are."""
        sock = answer.request.sock
        if sock not in self.connections:
            return
        is_bytes = isinstance(document, bytes)
        answer.status = status
        answer.headers["Content-Type"] = "application/json"
        answer.body = document if is_bytes else orjson.dumps(document)
        answer.close = answer.close or self.guard.must_close(sock)
        self.fire(quiet(response(answer)), "web")
        self.guard.answered(sock)

    def cut(self, answer):
        """Close the connection without an answer."""
        self.server.http._clients.pop(answer.request.sock, None)
        self.fire(close(answer.request.sock), "web")

    def send(self, answer, data):
        """Send raw bytes to a caller that is still there."""
        if answer.request.sock in self.connections:
            self.fire(write(answer.request.sock, data), "web")

    @handler("connect", channel="web")
    def _on_connect(self, sock, *args):
        self.connections.add(sock)

    @handler("disconnect", channel="web")
    def _on_disconnect(self, sock, *args):
        self.connections.discard(sock)
        self.on_gone(sock)

    def on_gone(self, sock):
        """Do what a stand-in does when a connection closes."""

    @handler("error", channel="web")
    def _on_error(self, *args):
        """A broken connection is closed by the server."""
