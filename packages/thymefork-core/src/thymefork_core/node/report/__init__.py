"""What operators read of one instance."""

from .reporter import Reporter
from .reports import StatusReport, WorkReport

__all__ = ["Reporter", "StatusReport", "WorkReport"]
