"""Limits of an HTTP server."""

from attrs import frozen

__all__ = ["ServerLimits"]


@frozen(kw_only=True)
class ServerLimits:
    """Bound the size and duration of requests and the idle time of connections.

    The defaults apply until the operators' configuration has been read.
    Units: bytes and milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
