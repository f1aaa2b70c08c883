"""Entries about accepted work."""

from .accept import Accept
from .close import Close
from .end import End
from .ending import Ending
from .start import Start

__all__ = ["Accept", "Close", "End", "Ending", "Start"]
