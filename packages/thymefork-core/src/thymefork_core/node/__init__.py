"""One entry instance: all roles as one state machine without I/O."""

from .limits import Limits
from .node import Node

__all__ = ["Limits", "Node"]
