"""The union `Entry`."""

from .ownership.claim import Claim
from .ownership.handover import Handover
from .ownership.held import Held
from .ownership.renew import Renew
from .ownership.resign import Resign
from .ownership.take import Take
from .work.accept import Accept
from .work.close import Close
from .work.end import End
from .work.start import Start

__all__ = ["Entry"]


Entry = Renew | Take | Handover | Held | Claim | Resign | Start | End | Close | Accept
