"""An outgoing HTTP request."""

from collections.abc import Callable

from attrs import define

from ..address import Address

__all__ = ["HttpCall"]


@define(kw_only=True, eq=False)
class HttpCall:
    """Hold a request, its deadline and the callback for its outcome.

    While parts of a long answer arrive, the deadline is extended up to
    `max_deadline_ms`, if that is set. `still_wanted` is called right before the first
    byte is sent; if it returns false, the call fails unsent. `wants_new_connection` is
    for retries: the idle connections may be unresponsive too. `first_body` replaces
    `body` in the first call on a connection, since the peer may have restarted;
    `is_first_on_connection` says which of the two was sent. Calls whose number is
    bounded elsewhere are not `is_limited` by the pool.
    Units: `deadline_ms` and `max_deadline_ms` are on the steady clock.
    """

    address: Address
    method: str
    target: str
    on_answer: Callable
    deadline_ms: float
    max_deadline_ms: float = 0.0
    body: bytes = b""
    first_body: bytes | None = None
    is_first_on_connection: bool = False
    headers: tuple[tuple[str, str], ...] = ()
    still_wanted: Callable | None = None
    wants_new_connection: bool = False
    is_limited: bool = True
    began_ms: float = 0.0
    timer_id: int = 0
    connection: object = None

    def encode(self):
        """Return the request as bytes.

        Raises: ValueError if a header has characters that may not stand there.
        """
        lines = [f"{self.method} {self.target} HTTP/1.1", f"Host: {self.address.host}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        body = self._body_to_send()
        if body:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
        if not all(line.isprintable() for line in lines):
            raise ValueError("a header or the target is not printable")
        return "\r\n".join(lines).encode("ascii") + b"\r\n\r\n" + body

    def _body_to_send(self):
        if self.is_first_on_connection and self.first_body is not None:
            return self.first_body
        return self.body
