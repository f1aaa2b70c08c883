"""Withhold the acknowledgement of a run's end while it might have to be taken back.

A worker forgets an end once that is acknowledged; from then on its task must not begin
again. While an earlier start of the task may still arrive at a later incarnation of the
same worker, its end is not acknowledged: if the worker restarts, it is lost with the
worker's other state, as if the run had not ended yet.

A next owner has to withhold it as well, so it is stored, with the incarnation.
"""

import orjson
from attrs import frozen

from ..state import BINDING_MS

__all__ = ["WITHHELD_END_KEY", "WithheldEnds"]

WITHHELD_END_KEY = "w"


@frozen(kw_only=True)
class _WithheldEnd:
    """Hold the lowest end number of an incarnation that is not acknowledged yet."""

    born_epoch_ms: int
    number: int
    until_ms: float


class WithheldEnds:
    """Keep and store which run ends are not to be acknowledged yet."""

    def __init__(self, *, context):
        self._context = context
        self._ends = {}  # by worker id

    def withhold(self, worker, number, until_ms):
        """Acknowledge neither an end of a worker nor any later one for a while."""
        known = self._ends.get(worker.worker_id)
        if known is not None and known.born_epoch_ms == worker.born_epoch_ms:
            number = min(number, known.number)
            until_ms = max(until_ms, known.until_ms)
        self._context.count("run_ends", "withheld")
        self._ends[worker.worker_id] = _WithheldEnd(
            born_epoch_ms=worker.born_epoch_ms, number=number, until_ms=until_ms
        )
        record = orjson.dumps([worker.born_epoch_ms, number])
        self._context.journal.put(WITHHELD_END_KEY + worker.worker_id, record)

    def load(self, records, now_ms):
        """Load the stored records; how long the ends were withheld is not known."""
        for key, value in records.items():
            if not key.startswith(WITHHELD_END_KEY):
                continue
            born_epoch_ms, number = orjson.loads(value)
            self._ends[key.removeprefix(WITHHELD_END_KEY)] = _WithheldEnd(
                born_epoch_ms=born_epoch_ms, number=number, until_ms=now_ms + BINDING_MS
            )

    def withholds_any(self, worker):
        """Return whether an end that is stored is not to be acknowledged yet."""
        return self.end_to_acknowledge(worker) < worker.stored_end

    def end_to_acknowledge(self, worker):
        """Return the highest end number that a poll may acknowledge."""
        withheld = self._ends.get(worker.worker_id)
        if withheld is None or withheld.born_epoch_ms != worker.born_epoch_ms:
            return worker.stored_end
        return min(worker.stored_end, withheld.number - 1)

    def review(self, now_ms):
        """Drop the records of ends that may be acknowledged."""
        for worker_id, withheld in list(self._ends.items()):
            if now_ms >= withheld.until_ms:
                del self._ends[worker_id]
                self._context.journal.put(WITHHELD_END_KEY + worker_id, b"")
