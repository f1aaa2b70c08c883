"""Messages of time, members and peers."""

from .list_read import ListRead
from .peer_heard import PeerHeard
from .peer_refused import PeerRefused
from .stop_signal import StopSignal
from .tick import Tick

__all__ = ["ListRead", "PeerHeard", "PeerRefused", "StopSignal", "Tick"]
