"""ReplyLookup: answer a lookup: with the endpoint's answer, or a refusal's reason."""

from attrs import frozen

from thymefork_core.reasons import Reason

__all__ = ["ReplyLookup"]


@frozen(kw_only=True)
class ReplyLookup:
    """Answer a lookup: with the endpoint's answer, or a refusal's reason."""

    request_id: str
    status: int
    body: bytes
    reason: Reason | None = None
    come_back_at_ms: int = 0
