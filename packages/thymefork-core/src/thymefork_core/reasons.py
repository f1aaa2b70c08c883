"""The one enumeration of refusal and retry reasons; each is a counter."""

from enum import StrEnum

__all__ = ["Reason", "Retry"]


class Reason(StrEnum):
    """Name why work was not run, or why its fate is unknown."""

    BAD_REQUEST = "bad_request"
    CANCELLED = "cancelled"
    CANCELLED_RUNNING = "cancelled_running"
    DEADLINE = "deadline"
    DUPLICATE_SPEC = "duplicate_spec"
    FAILED_ATTEMPTS = "failed_attempts"
    GANG_NO_ROOM = "gang_no_room"
    HALL_UNREACHABLE = "hall_unreachable"
    LOG_UNAVAILABLE = "log_unavailable"
    LOST = "lost"
    NEVER_FITS = "never_fits"
    NO_CONFIG = "no_config"
    NO_SLOT = "no_slot"
    OVERLOADED = "overloaded"
    PLANNED_STOP = "planned_stop"
    RECORD_UNRESOLVED = "record_unresolved"
    RUNNING_AT_DEADLINE = "running_at_deadline"
    TOO_OLD = "too_old"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_WORK = "unknown_work"


class Retry(StrEnum):
    """Name why the system tried something again."""

    APPEND_RESENT = "append_resent"
    ATTEMPT_LOST = "attempt_lost"
    ATTEMPT_FAILED = "attempt_failed"
    CLAIM_VOID = "claim_void"
    LOOKUP_HOP = "lookup_hop"
    PEER_RECONNECT = "peer_reconnect"
    PLACE_REFUSED = "place_refused"
    PREEMPTED = "preempted"
    START_NOT_SENT = "start_not_sent"
    START_UNCERTAIN = "start_uncertain"
    START_VOID = "start_void"
