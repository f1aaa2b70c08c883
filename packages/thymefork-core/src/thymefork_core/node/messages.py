"""Messages that the daemon brings to the node."""

from attrs import frozen

from thymefork_core.config import ConfigVersion
from thymefork_core.ledger import Record
from thymefork_core.log import Stream
from thymefork_core.membership import InstanceEntry, WorkerEntry
from thymefork_core.model import OperatorsFile, WorkSpec
from thymefork_core.peer import PeerMessage

__all__ = [
    "AppendAcked",
    "AppendLost",
    "AppendRefused",
    "ApplyRequest",
    "AttemptReport",
    "CallerGone",
    "CancelRequest",
    "CheckpointRead",
    "ConfigRead",
    "ListRead",
    "LogFailed",
    "LogRead",
    "LogReset",
    "LookupEnded",
    "LookupRequest",
    "PeerHeard",
    "PeerRefused",
    "PollFailed",
    "ReportRequest",
    "StartsAnswered",
    "StartsFailed",
    "StopSignal",
    "SubmitRequest",
    "Throttled",
    "Tick",
    "WorkerReport",
]


@frozen(kw_only=True)
class Tick:
    """Let time pass."""


@frozen(kw_only=True)
class StopSignal:
    """Begin a planned stop."""


@frozen(kw_only=True)
class LogRead:
    """Bring records of a stream in order; `at_end` if none were left."""

    stream: Stream
    records: tuple[Record, ...]
    began_mono_ms: int
    at_end: bool


@frozen(kw_only=True)
class ConfigRead:
    """Bring versions from the config stream in order."""

    versions: tuple[ConfigVersion, ...]
    checkpoints: tuple[ConfigVersion, ...]
    began_mono_ms: int
    at_end: bool


@frozen(kw_only=True)
class CheckpointRead:
    """Bring the newest checkpoints, or None where the log has none."""

    hall: object
    accepted: object


@frozen(kw_only=True)
class LogReset:
    """Tell that a stream ends before what was read of it."""

    stream: Stream


@frozen(kw_only=True)
class ReportRequest:
    """Bring an operator's wish to read; `subject` is a work id or empty."""

    request_id: str
    subject: str = ""


@frozen(kw_only=True)
class LogFailed:
    """Tell that a read of the log failed."""


@frozen(kw_only=True)
class AppendAcked:
    """Tell that a record landed."""

    stream: Stream
    record_id: str


@frozen(kw_only=True)
class AppendRefused:
    """Tell that a record surely did not land."""

    stream: Stream
    record_id: str


@frozen(kw_only=True)
class AppendLost:
    """Tell that a record may have landed."""

    stream: Stream
    record_id: str


@frozen(kw_only=True)
class ListRead:
    """Bring a new state of the platform's instance list."""

    instances: tuple[InstanceEntry, ...]
    workers: tuple[WorkerEntry, ...]


@frozen(kw_only=True)
class PeerHeard:
    """Bring a message of another instance."""

    peer: str
    message: PeerMessage


@frozen(kw_only=True)
class PeerRefused:
    """Tell that a peer's machine refused a connection: nothing runs there."""

    peer: str


@frozen(kw_only=True)
class SubmitRequest:
    """Bring a caller's works; `retry` if it has sent them before."""

    request_id: str
    specs: tuple[WorkSpec, ...]
    retry: bool = False


@frozen(kw_only=True)
class CancelRequest:
    """Bring a caller's wish to cancel works."""

    request_id: str
    work_ids: tuple[str, ...]


@frozen(kw_only=True)
class LookupRequest:
    """Bring a lookup, or a stream that stays open; `hopped` if a peer passed it on.

    Units: `deadline_ms` is milliseconds since the epoch.
    """

    request_id: str
    service: str
    target: str
    body: bytes
    deadline_ms: int
    stream: bool = False
    hopped: bool = False


@frozen(kw_only=True)
class LookupEnded:
    """Tell how a proxied lookup or stream ended; status 0 is a lost endpoint.

    Units: `took_ms` is the time from the send to the end, a measurement.
    """

    request_id: str
    worker: str
    status: int
    body: bytes
    took_ms: float
    sent: bool


@frozen(kw_only=True)
class CallerGone:
    """Tell that a caller left before its answer."""

    request_id: str


@frozen(kw_only=True)
class ApplyRequest:
    """Bring an operators' file to put in force over a base version."""

    request_id: str
    base: int
    author: str
    file: OperatorsFile


@frozen(kw_only=True)
class AttemptReport:
    """Hold what a worker says of an attempt that ended there."""

    attempt_id: str
    exit_code: int
    stopped: bool


@frozen(kw_only=True)
class WorkerReport:
    """Bring a worker's report.

    Units: `measured_at_ms` is on the worker's clock, milliseconds since the epoch;
    `peak_memory_mb` by attempt lags behind.
    """

    worker: str
    measured_at_ms: int
    running: tuple[str, ...]
    finished: tuple[AttemptReport, ...]
    connections: int
    leaving: bool
    peak_memory_mb: dict[str, int]


@frozen(kw_only=True)
class PollFailed:
    """Tell that a worker did not report."""

    worker: str


@frozen(kw_only=True)
class StartsAnswered:
    """Tell that a worker took starts.

    Units: `started_at_ms` is on the worker's clock.
    """

    worker: str
    attempt_ids: tuple[str, ...]
    started_at_ms: int


@frozen(kw_only=True)
class StartsFailed:
    """Tell that starts got no answer; `sent` if they may have arrived."""

    worker: str
    attempt_ids: tuple[str, ...]
    sent: bool


@frozen(kw_only=True)
class Throttled:
    """Tell whether a worker slowed an attempt down."""

    worker: str
    attempt_id: str
    cpu_milli: int
    done: bool
