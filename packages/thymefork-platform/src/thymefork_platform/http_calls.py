"""Outgoing HTTP calls and their results."""

from collections.abc import Callable

from attrs import field, frozen

__all__ = ["Address", "HttpCall", "HttpResult"]


@frozen(kw_only=True)
class Address:
    """Hold an IP number and a port."""

    host: str
    port: int


@frozen(kw_only=True, eq=False)
class HttpCall:
    """Hold a request and what is to be called with its result.

    Units: the deadlines are on the monotonic clock in milliseconds;
    `send_before_mono_ms` 0 sets no bound on the send. `on_head` and `on_part` are
    given for an answer that is passed on as it comes.
    """

    address: Address
    method: str
    target: str
    deadline_mono_ms: int
    on_result: Callable
    body: bytes = b""
    send_before_mono_ms: int = 0
    on_head: Callable | None = None
    on_part: Callable | None = None
    call_id: int = field(factory=lambda: next(_IDS))


@frozen(kw_only=True)
class HttpResult:
    """Hold an answer; status 0 where none came, and whether the request left."""

    status: int
    body: bytes
    sent: bool
    took_ms: float = 0.0
    error: str = ""


def _count():
    number = 0
    while True:
        number += 1
        yield number


_IDS = _count()
