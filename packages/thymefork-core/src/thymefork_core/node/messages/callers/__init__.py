"""Messages of callers and operators."""

from .apply_request import ApplyRequest
from .caller_gone import CallerGone
from .cancel_request import CancelRequest
from .lookup_request import LookupRequest
from .report_request import ReportRequest
from .submit_request import SubmitRequest

__all__ = [
    "ApplyRequest",
    "CallerGone",
    "CancelRequest",
    "LookupRequest",
    "ReportRequest",
    "SubmitRequest",
]
