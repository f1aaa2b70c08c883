"""Decisions of a cell, without I/O: the same code runs live and in tests."""

from .advice_slots import LONG_CALL_MS, AdviceSlots
from .cell import Cell
from .codec import decode_spec, encode_spec
from .context import STALE_MS
from .hashing import cell_of
from .orders import OrderAnswer, Refusal
from .reports import EndRow, HeardEnd, RunRow, WorkerReport

__all__ = [
    "AdviceSlots",
    "Cell",
    "EndRow",
    "HeardEnd",
    "LONG_CALL_MS",
    "OrderAnswer",
    "Refusal",
    "RunRow",
    "STALE_MS",
    "WorkerReport",
    "cell_of",
    "decode_spec",
    "encode_spec",
]
