"""The owner's roles: which workers it owns, and what it does on them."""

from .authority import Authority
from .executor import Executor

__all__ = ["Authority", "Executor"]
