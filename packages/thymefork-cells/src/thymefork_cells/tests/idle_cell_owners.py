"""Owners of the cells beside the one that is tested: they have no work, and lend."""

from thymefork_cells import Cell, effects as fx
from thymefork_cells.specs import Bounds

__all__ = ["APPEND_MS", "LINK_MS", "PARTS", "IdleCellOwners"]

PARTS = (fx.RequestParts, fx.GrantParts, fx.ReportHeldParts)
LINK_MS = 2.0
APPEND_MS = 10.0
# A new owner finds the others, and opens its links, within two heartbeats.
LINKS_UP_MS = 500.0
TURN_MS = 20.0


class IdleCellOwners:
    """Play cells without workers or jobs, each from the first message to it."""

    def __init__(self, *, harness):
        self._harness = harness
        self._up_ms = 0.0
        self.cells = {}

    def on_taken_over(self):
        """Take note that the tested cell has a new owner, without links yet."""
        self._up_ms = self._harness.now + LINKS_UP_MS

    def send(self, message):
        """Carry a message of the tested cell, or to it."""
        if self._harness.now >= self._up_ms:
            self._harness.env.process(self._carry(message))

    def _carry(self, message):
        yield self._harness.env.timeout(LINK_MS)
        harness = self._harness
        if message.to_cell != harness.cell.context.cell:
            self._cell(message.to_cell).on_parts(message, now_ms=harness.now)
        elif not harness.is_owner_down:
            harness.cell.on_parts(message, now_ms=harness.now)

    def _cell(self, index):
        if index not in self.cells:
            self.cells[index] = cell = Cell(
                cell=index,
                epoch=1,
                cell_count=self._harness.cell.context.cell_count,
                bounds=Bounds(),
                configuration=self._harness.configuration,
                membership_ms=1_000.0,
                now_ms=self._harness.now,
            )
            self._harness.env.process(self._turns(cell))
        return self.cells[index]

    def _turns(self, cell):
        while True:
            cell.run_cycle(self._harness.now)
            self._send_all(cell.take_effects())
            batch = cell.journal.take(self._harness.now)
            yield self._harness.env.timeout(APPEND_MS)
            cell.on_stored(batch)
            self._send_all(batch.effects)
            yield self._harness.env.timeout(TURN_MS - APPEND_MS)

    def _send_all(self, effects):
        for effect in effects:
            if isinstance(effect, PARTS):
                self.send(effect)
