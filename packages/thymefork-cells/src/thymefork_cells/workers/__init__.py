"""Workers: which there are, what runs on them, and what they are told."""

from .gang_watch import GangWatch
from .listings import DOUBT_REASON, Listings
from .lives import LifeVerdict, Lives
from .looks import Looks
from .orders import OrderAnswer, Orders, Refusal
from .pacing import Pacing
from .quorum import OUTAGE_GRACE_MS, QUORUM_MS, Quorum, lease_span_ms
from .roster import Roster
from .watch import Watch
from .worker_losses import MOST_CRASHES, MOST_LOSSES, SOUND_MS, WorkerLosses, trial_ms

__all__ = [
    "DOUBT_REASON",
    "GangWatch",
    "LifeVerdict",
    "Listings",
    "Lives",
    "Looks",
    "MOST_CRASHES",
    "MOST_LOSSES",
    "OUTAGE_GRACE_MS",
    "OrderAnswer",
    "Orders",
    "Pacing",
    "QUORUM_MS",
    "Quorum",
    "Refusal",
    "Roster",
    "SOUND_MS",
    "Watch",
    "WorkerLosses",
    "lease_span_ms",
    "trial_ms",
]
