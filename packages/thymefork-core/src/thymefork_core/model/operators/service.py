"""Service: declare an endpoint service that lookups and streams ask for."""

from attrs import field, frozen, validators

__all__ = ["Service"]

_positive = validators.ge(1)


@frozen(kw_only=True)
class Service:
    """Declare an endpoint service that lookups and streams ask for.

    Units: `slots` are concurrent lookups, `connections` open connections, both a
    worker; `lookup_timeout_ms` and `queue_limit` bound the wait.
    """

    name: str
    slots: int = field(validator=_positive)
    connections: int = field(validator=_positive)
    lookup_timeout_ms: int = field(
        default=1000, validator=[_positive, validators.le(2000)]
    )
    queue_limit: int = field(default=64, validator=validators.ge(0))
