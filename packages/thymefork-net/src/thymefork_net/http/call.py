"""One outgoing request."""

from collections.abc import Callable

from attrs import define

from ..address import Address

__all__ = ["HttpCall"]


@define(kw_only=True, eq=False)
class HttpCall:
    """Hold a request and what takes its outcome.

    Units: `deadline_ms` and `max_deadline_ms` are on the steady clock. A call that sets
    `max_deadline_ms` may have a long answer: while parts of it come, its deadline moves on up
    to that moment. `still_wanted` is asked right before
    the first byte leaves; the call fails unsent where it returns false. A call that
    `wants_new_connection` repeats one that is unanswered: others may be as silent.
    A call with a `first_body` sends that in place of its body as the first call on a
    connection, whose peer may have started again since the last one was answered;
    `is_first_on_connection` tells which was sent.
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
    began_ms: float = 0.0
    timer_id: int = 0
    connection: object = None

    def encode(self):
        """Return the bytes of the request."""
        lines = [f"{self.method} {self.target} HTTP/1.1", f"Host: {self.address.host}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        body = self._body_to_send()
        if body:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode("ascii") + b"\r\n\r\n" + body

    def _body_to_send(self):
        if self.is_first_on_connection and self.first_body is not None:
            return self.first_body
        return self.body
