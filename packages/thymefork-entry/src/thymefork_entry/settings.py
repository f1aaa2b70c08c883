"""The process settings, checked before any socket opens."""

from ipaddress import ip_address

from attrs import Factory, field, frozen, validators

from thymefork_core.exceptions import SettingsError
from thymefork_core.membership import InstanceEntry
from thymefork_core.node import Limits
from thymefork_wire import load_document

__all__ = ["HttpLimits", "Place", "Settings", "load_settings"]


def _is_ip(instance, attribute, value):
    try:
        ip_address(value)
    except ValueError as failure:
        raise ValueError(f"{value!r} is no IP number") from failure


@frozen(kw_only=True)
class Place:
    """Hold an IP number and a port."""

    host: str = field(validator=_is_ip)
    port: int = field(validator=[validators.ge(1), validators.le(65535)])


@frozen(kw_only=True)
class HttpLimits:
    """Bound what a caller may send.

    Units: bytes, and milliseconds for a request to be complete.
    """

    head_bytes: int = field(default=16_384, validator=validators.ge(256))
    body_bytes: int = field(default=4_194_304, validator=validators.ge(1))
    receive_ms: int = field(default=10_000, validator=validators.ge(1))


@frozen(kw_only=True)
class Settings:
    """Hold all that a daemon learns at its start.

    The peers' seed is used until the instance list has been read.
    """

    name: str = field(validator=validators.matches_re(r"[\w.-]{1,64}"))
    hall: str = field(validator=validators.matches_re(r"[\w.-]{1,64}"))
    http: Place
    peers: Place
    log_service: Place
    instance_list: Place
    statsd: Place | None = None
    peer_seed: tuple[InstanceEntry, ...] = ()
    limits: Limits = Factory(Limits)
    http_limits: HttpLimits = Factory(HttpLimits)
    peer_message_bytes: int = field(default=8_388_608, validator=validators.ge(1024))
    log_level: str = field(
        default="INFO", validator=validators.in_(("DEBUG", "INFO", "WARNING", "ERROR"))
    )


def load_settings(path):
    """Read and check a settings file.

    Raises: SettingsError with the file, the field's path and the fix.
    """
    return load_document(path, Settings, SettingsError)
