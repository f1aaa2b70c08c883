"""Proxy: send a lookup or a stream to a worker's endpoint."""

from attrs import frozen

__all__ = ["Proxy"]


@frozen(kw_only=True)
class Proxy:
    """Send a lookup or a stream to a worker's endpoint."""

    request_id: str
    worker: str
    service: str
    target: str
    body: bytes
    deadline_ms: int
    stream: bool
