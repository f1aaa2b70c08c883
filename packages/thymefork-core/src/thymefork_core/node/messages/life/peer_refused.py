"""PeerRefused: tell that a peer's machine refused a connection: nothing runs there."""

from attrs import frozen

__all__ = ["PeerRefused"]


@frozen(kw_only=True)
class PeerRefused:
    """Tell that a peer's machine refused a connection: nothing runs there."""

    peer: str
