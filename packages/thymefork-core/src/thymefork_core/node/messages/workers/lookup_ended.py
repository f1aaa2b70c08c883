"""The type `LookupEnded`."""

from attrs import frozen

__all__ = ["LookupEnded"]


@frozen(kw_only=True)
class LookupEnded:
    """Tell how a proxied lookup or stream ended; status 0 is a lost endpoint.

    Units: `took_ms` is the time from the send to the end, a measurement.
    """

    request_id: str
    worker: str
    status: int
    body: bytes
    took_ms: float
    sent: bool
