"""The union `Effect`."""

from .log.append import Append
from .log.save_checkpoint import SaveCheckpoint
from .replies.reply_answers import ReplyAnswers
from .replies.reply_applied import ReplyApplied
from .replies.reply_lookup import ReplyLookup
from .replies.reply_report import ReplyReport
from .telling.count import Count
from .telling.exit import Exit
from .telling.note import Note
from .telling.send_peer import SendPeer
from .telling.timing import Timing
from .workers.close_idle import CloseIdle
from .workers.poll_worker import PollWorker
from .workers.proxy import Proxy
from .workers.send_starts import SendStarts
from .workers.send_stops import SendStops
from .workers.send_throttle import SendThrottle

__all__ = ["Effect"]


Effect = (
    Append
    | SaveCheckpoint
    | SendPeer
    | SendStarts
    | SendStops
    | SendThrottle
    | PollWorker
    | Proxy
    | CloseIdle
    | ReplyAnswers
    | ReplyLookup
    | ReplyApplied
    | ReplyReport
    | Count
    | Timing
    | Note
    | Exit
)
