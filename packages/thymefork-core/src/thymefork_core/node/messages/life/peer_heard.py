"""PeerHeard: bring a message of another instance."""

from attrs import frozen

from thymefork_core.peer import PeerMessage

__all__ = ["PeerHeard"]


@frozen(kw_only=True)
class PeerHeard:
    """Bring a message of another instance."""

    peer: str
    message: PeerMessage
