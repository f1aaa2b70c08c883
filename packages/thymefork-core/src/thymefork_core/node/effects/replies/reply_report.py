"""ReplyReport: answer a report's reader; None where there is nothing to tell."""

from attrs import frozen

__all__ = ["ReplyReport"]


@frozen(kw_only=True)
class ReplyReport:
    """Answer a report's reader; None where there is nothing to tell."""

    request_id: str
    report: object
