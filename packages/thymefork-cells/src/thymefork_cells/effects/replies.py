"""Replies to callers' requests."""

from enum import StrEnum

from attrs import frozen

__all__ = ["Outcome", "Reply"]


class Outcome(StrEnum):
    """Outcome of a request."""

    ACCEPTED = "accepted"
    STATE = "state"
    CANCELLED = "cancelled"
    UNKNOWN_JOB = "unknown_job"
    COUNTED = "counted"
    REFUSED = "refused"  # not stored, will not run
    NOT_ALLOWED = "not_allowed"  # the job belongs to another account
    OVER_LIMIT = "over_limit"  # exceeds its account's limit; not stored
    IN_DOUBT = "in_doubt"  # may be stored; retry with the same id
    NOT_OWNER = "not_owner"  # another instance owns the cell


@frozen(kw_only=True, eq=False)
class Reply:
    """Reply to a request.

    `reply_to` is the callback, or the tag of the requester, that the reply is for;
    `retry_after_ms` is 0 if unknown.
    """

    reply_to: object
    outcome: Outcome
    job_id: str = ""
    state: str = ""
    count: int = 0
    retry_after_ms: int = 0
