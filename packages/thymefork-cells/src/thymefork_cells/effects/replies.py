"""Answers to callers' requests."""

from enum import StrEnum

from attrs import frozen

__all__ = ["Outcome", "Reply"]


class Outcome(StrEnum):
    """Name what became of a request."""

    ACCEPTED = "accepted"
    STATE = "state"
    CANCELLED = "cancelled"
    UNKNOWN_JOB = "unknown_job"
    COUNTED = "counted"
    REFUSED = "refused"  # nothing was kept and nothing will run
    NOT_ALLOWED = "not_allowed"  # the job is another account's
    OVER_LIMIT = "over_limit"  # its account may never run it; nothing was kept
    IN_DOUBT = "in_doubt"  # it may have been kept; the same id may be sent again
    NOT_OWNER = "not_owner"  # another instance owns the cell


@frozen(kw_only=True, eq=False)
class Reply:
    """Answer a request; `retry_after_ms` tells when to come back, 0 if unknown."""

    request_id: object
    outcome: Outcome
    job_id: str = ""
    state: str = ""
    count: int = 0
    retry_after_ms: int = 0
