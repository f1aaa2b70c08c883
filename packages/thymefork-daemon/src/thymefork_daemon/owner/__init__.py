"""Ownership of a cell: takeover, storing records and executing effects."""

from .advice_dispatcher import AdviceDispatcher
from .append_pipeline import AppendPipeline
from .cell_owner import CellOwner
from .takeover import Takeover

__all__ = ["AdviceDispatcher", "AppendPipeline", "CellOwner", "Takeover"]
