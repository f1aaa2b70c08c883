"""Messages of the platform's log."""

from .append_acked import AppendAcked
from .append_lost import AppendLost
from .append_refused import AppendRefused
from .checkpoint_read import CheckpointRead
from .config_read import ConfigRead
from .log_failed import LogFailed
from .log_read import LogRead
from .log_reset import LogReset

__all__ = [
    "AppendAcked",
    "AppendLost",
    "AppendRefused",
    "CheckpointRead",
    "ConfigRead",
    "LogFailed",
    "LogRead",
    "LogReset",
]
