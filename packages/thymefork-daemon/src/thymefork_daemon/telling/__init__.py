"""Log lines and metrics."""

from .log_budget import ROUTINE_EVENTS, LogBudget
from .logs import setup_logs
from .metrics import Metrics

__all__ = ["ROUTINE_EVENTS", "LogBudget", "Metrics", "setup_logs"]
