"""ReportRequest: bring an operator's wish to read; `subject` is a work id or empty."""

from attrs import frozen

__all__ = ["ReportRequest"]


@frozen(kw_only=True)
class ReportRequest:
    """Bring an operator's wish to read; `subject` is a work id or empty."""

    request_id: str
    subject: str = ""
