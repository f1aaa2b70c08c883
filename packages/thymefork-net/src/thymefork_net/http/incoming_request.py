"""An incoming HTTP request and its answer."""

from attrs import define, field

__all__ = ["IncomingRequest"]


@define(kw_only=True, eq=False)
class IncomingRequest:
    """Hold a parsed request and send its answer.

    Units: `arrived_ms` is on the steady clock.
    """

    connection: object
    method: str
    path: str
    query: str
    headers: dict[str, str]
    arrived_ms: float
    keep_alive: bool = True
    body: bytes = b""
    answered: bool = False
    output: bytes = field(default=b"")

    def answer(self, status, body=b"", *, headers=(), content_type="application/json"):
        """Send the answer; ignore any further one."""
        if self.answered:
            return
        self.answered = True
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
        if body:
            lines.append(f"Content-Type: {content_type}")
        lines += [f"{name}: {value}" for name, value in headers]
        if not self.keep_alive or self.connection.closing:
            self.keep_alive = False
            lines.append("Connection: close")
        lines.append(f"Content-Length: {len(body)}")
        self.output = "\r\n".join(lines).encode("ascii") + b"\r\n\r\n" + body
        self.connection.on_answered(self)


_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
