"""Owners of cells without work, which lend limit parts to the tested cell."""

from thymefork_cells import Cell, effects as fx
from thymefork_cells.specs import Bounds

__all__ = ["APPEND_MS", "LINK_MS", "PARTS", "IdleCellOwners"]

PARTS = (fx.RequestParts, fx.GrantParts, fx.ReportHeldParts)
LINK_MS = 2.0
APPEND_MS = 10.0
# Time until a new owner has links to the others.
LINK_SETUP_MS = 500.0
CYCLE_INTERVAL_MS = 20.0


class IdleCellOwners:
    """Simulate cells without workers or jobs, created on their first message."""

    def __init__(self, *, harness):
        self._harness = harness
        self._links_up_ms = 0.0
        self.cells = {}

    def on_taken_over(self):
        """Take the links down for a while after a takeover of the tested cell."""
        self._links_up_ms = self._harness.now + LINK_SETUP_MS

    def send(self, message):
        """Deliver a message from or to the tested cell."""
        if self._harness.now >= self._links_up_ms:
            self._harness.env.process(self._deliver(message))

    def _deliver(self, message):
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
            self._harness.env.process(self._run_cycles(cell))
        return self.cells[index]

    def _run_cycles(self, cell):
        while True:
            cell.run_cycle(self._harness.now)
            self._send_all(cell.take_effects())
            batch = cell.journal.take(self._harness.now)
            yield self._harness.env.timeout(APPEND_MS)
            cell.on_stored(batch)
            self._send_all(batch.effects)
            yield self._harness.env.timeout(CYCLE_INTERVAL_MS - APPEND_MS)

    def _send_all(self, effects):
        for effect in effects:
            if isinstance(effect, PARTS):
                self.send(effect)
