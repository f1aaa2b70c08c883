"""Entries about who owns a worker."""

from .claim import Claim
from .handover import Handover
from .held import Held
from .renew import Renew
from .resign import Resign
from .take import Take

__all__ = ["Claim", "Handover", "Held", "Renew", "Resign", "Take"]
