"""SendPeer: send a message to another instance."""

from attrs import frozen

from thymefork_core.peer import PeerMessage

__all__ = ["SendPeer"]


@frozen(kw_only=True)
class SendPeer:
    """Send a message to another instance."""

    peer: str
    message: PeerMessage
