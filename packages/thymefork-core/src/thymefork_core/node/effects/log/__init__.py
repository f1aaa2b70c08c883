"""Effects on the platform's log."""

from .append import Append
from .save_checkpoint import SaveCheckpoint

__all__ = ["Append", "SaveCheckpoint"]
