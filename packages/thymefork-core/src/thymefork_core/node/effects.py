"""What the node asks the daemon to do."""

from enum import StrEnum

from attrs import frozen

from thymefork_core.log import Batch, Stream
from thymefork_core.model import Answer
from thymefork_core.peer import PeerMessage
from thymefork_core.reasons import Reason, Retry

__all__ = [
    "Append",
    "CloseIdle",
    "Count",
    "Effect",
    "Exit",
    "Level",
    "Note",
    "PollWorker",
    "Proxy",
    "ReplyAnswers",
    "ReplyApplied",
    "ReplyLookup",
    "ReplyReport",
    "SaveCheckpoint",
    "SendPeer",
    "SendStarts",
    "SendStops",
    "SendThrottle",
    "StartOrder",
    "Timing",
]


class Level(StrEnum):
    """Name the levels of log lines."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"


@frozen(kw_only=True)
class Append:
    """Send a record to the log."""

    stream: Stream
    batch: Batch


@frozen(kw_only=True)
class SaveCheckpoint:
    """Append a checkpoint of a state to its stream."""

    stream: Stream
    state: object


@frozen(kw_only=True)
class SendPeer:
    """Send a message to another instance."""

    peer: str
    message: PeerMessage


@frozen(kw_only=True)
class StartOrder:
    """Hold what a worker needs to start an attempt."""

    attempt_id: str
    cpu_milli: int
    memory_mb: int
    accelerators: int
    run_ms: int
    payload: str


@frozen(kw_only=True)
class SendStarts:
    """Tell a worker to start attempts under a lease.

    Units: `lease_until_ms` is milliseconds since the epoch, `send_before_mono_ms`
    is on the monotonic clock: not sent by then, it must not be sent.
    """

    worker: str
    epoch: int
    orders: tuple[StartOrder, ...]
    lease_until_ms: int
    send_before_mono_ms: int


@frozen(kw_only=True)
class SendStops:
    """Tell a worker to stop attempts, after a checkpoint where asked."""

    worker: str
    epoch: int
    attempt_ids: tuple[str, ...]
    checkpoint: bool = False


@frozen(kw_only=True)
class SendThrottle:
    """Tell a worker to slow an attempt down to fewer processors."""

    worker: str
    epoch: int
    attempt_id: str
    cpu_milli: int


@frozen(kw_only=True)
class PollWorker:
    """Renew the leases of a worker's attempts and ask for its report."""

    worker: str
    epoch: int
    lease_until_ms: int
    forget: tuple[str, ...]
    wait_ms: int


@frozen(kw_only=True)
class Proxy:
    """Send a lookup or a stream to a worker's endpoint."""

    request_id: str
    worker: str
    service: str
    target: str
    body: bytes
    deadline_ms: int
    stream: bool


@frozen(kw_only=True)
class CloseIdle:
    """Close the idle connections to the endpoint of a worker owned no more."""

    worker: str


@frozen(kw_only=True)
class ReplyAnswers:
    """Answer a submission or a cancellation."""

    request_id: str
    answers: tuple[Answer, ...]


@frozen(kw_only=True)
class ReplyLookup:
    """Answer a lookup: with the endpoint's answer, or a refusal's reason."""

    request_id: str
    status: int
    body: bytes
    reason: Reason | None = None
    come_back_at_ms: int = 0


@frozen(kw_only=True)
class ReplyApplied:
    """Answer an apply: the version that won, and whether it was this one."""

    request_id: str
    accepted: bool
    version: int
    author: str
    reason: str = ""


@frozen(kw_only=True)
class ReplyReport:
    """Answer a report's reader; None where there is nothing to tell."""

    request_id: str
    report: object


@frozen(kw_only=True)
class Count:
    """Raise the counter of a refusal or retry reason."""

    reason: Reason | Retry


@frozen(kw_only=True)
class Timing:
    """Record a timer.

    Units: `value_ms` is a measured span.
    """

    name: str
    value_ms: float


@frozen(kw_only=True)
class Note:
    """Write a line to the structured log."""

    text: str
    step: str
    peer: str = ""
    subject: str = ""
    level: Level = Level.INFO


@frozen(kw_only=True)
class Exit:
    """Leave: nothing is open any more."""


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
