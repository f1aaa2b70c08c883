"""The union `PeerMessage`."""

from .answers.hop_lookup import HopLookup
from .answers.hop_reply import HopReply
from .answers.join import Join
from .answers.join_reply import JoinReply
from .life.beat import Beat
from .life.config_pull import ConfigPull
from .life.config_push import ConfigPush
from .life.heartbeat import Heartbeat
from .placement.commit import Commit
from .placement.place import Place
from .placement.place_reply import PlaceReply
from .placement.release import Release

__all__ = ["PeerMessage"]


PeerMessage = (
    Heartbeat
    | Beat
    | Place
    | PlaceReply
    | Commit
    | Release
    | Join
    | JoinReply
    | HopLookup
    | HopReply
    | ConfigPull
    | ConfigPush
)
