"""Several cells on one time, and the links between their owners."""

import simpy
from attrs import evolve

from thymefork_cells.specs import AccountPolicy, ResourceLimit

from .harness import Harness
from .idle_cell_owners import LINK_MS

__all__ = ["CellGroup"]


class CellGroup:
    """Run a harness for each cell, and carry what they tell each other.

    `befalls(message)` tells after how many milliseconds each copy of a message comes,
    none for one that is lost. `is_cut(one, other)` tells whether two cells' owners hear
    each other. A limit that was replaced may be in force for `applied_ms` still.
    `max_cpu_milli` is the most that the workers of all cells ran of the account at
    once, and `violations` the moments at which that was over every limit in force.
    """

    def __init__(self, *, cells, limit_cpu_milli, workers=4, cpu_milli=32_000):
        self.env = simpy.Environment()
        self.delivery_delays = lambda message: [LINK_MS]
        self.is_link_down = lambda one, other: False
        self._replaced = []
        self.applied_ms = 50.0
        self.violations = []
        self.max_cpu_milli = 0
        self.stalled_since = {}
        self.longest_stall_ms = 0.0
        self.messages = 0
        self.cells = [
            Harness(
                workers=workers,
                cpu_milli=cpu_milli,
                env=self.env,
                cell=cell,
                cell_count=cells,
                owners=self,
            )
            for cell in range(cells)
        ]
        self._version = 1
        self.set_limit(limit_cpu_milli)
        for harness in self.cells:
            harness.take_over()
        self.env.process(self._watch())

    @property
    def now(self):
        return float(self.env.now)

    def run(self, for_ms):
        self.env.run(until=self.env.now + for_ms)

    def set_limit(self, cpu_milli, cells=None):
        """Let some cells read a configuration with another limit, all if not said."""
        self._version += 1
        limit = ResourceLimit(cpu_milli=cpu_milli)
        accounts = (AccountPolicy(name="a", limit=limit),)
        for harness in self.cells if cells is None else cells:
            before = _limit_of(harness)
            harness.configuration = evolve(
                harness.configuration, version=self._version, accounts=accounts
            )
            if harness.cell is not None:
                self._replaced.append((self.now, before))
                harness.cell.on_configuration(harness.configuration)

    def kill(self, cell, *, for_ms):
        """End the owner of a cell; another takes the cell over after a while."""
        harness = self.cells[cell]
        harness.is_owner_down = True
        harness.run_after(for_ms, harness.take_over)

    def cpu_running(self, cell=None):
        """Return what the workers of a cell, or of all, run now."""
        cells = self.cells if cell is None else [self.cells[cell]]
        return sum(
            harness._cpu_of(task) for harness in cells for task, _ in harness.running()
        )

    # As the harnesses' owners --------------------------------------------------

    def on_taken_over(self):
        """Pass over: the links are up."""

    def send(self, message):
        """Carry a message, as often as it comes."""
        self.messages += 1
        for after_ms in self.delivery_delays(message):
            self.env.process(self._carry(message, after_ms))

    def _carry(self, message, after_ms):
        yield self.env.timeout(after_ms)
        harness = self.cells[message.to_cell]
        if not harness.is_owner_down and not self.is_link_down(
            message.borrower, message.lender
        ):
            harness.cell.on_parts(message, now_ms=self.now)

    # The rules -----------------------------------------------------------------

    def _watch(self):
        """Look at each moment at what the workers run."""
        most_before = 0
        while True:
            running = self.cpu_running()
            if running > most_before and running > self._highest_limit():
                self.violations.append((self.now, running))
            most_before = running
            self.max_cpu_milli = max(self.max_cpu_milli, running)
            if self.now % 50 == 0:
                self._look_for_standstill(running)
            yield self.env.timeout(5)

    def _highest_limit(self):
        """Return the highest limit that an owner goes by, or did as orders left."""
        in_force = [_limit_of(harness) for harness in self.cells]
        replaced = [
            cpu_milli
            for at_ms, cpu_milli in self._replaced
            if self.now - at_ms < self.applied_ms
        ]
        return max(in_force + replaced)

    def _look_for_standstill(self, running):
        """Note for how long a job has had nothing running below half of the limit."""
        holds_little = 2 * running < min(map(_limit_of, self.cells))
        for harness in self.cells:
            if harness.is_owner_down:
                continue
            for job in harness.cell.context.live_jobs.values():
                if job.runs or not holds_little:
                    self.stalled_since.pop(job.job_id, None)
                    continue
                since_ms = self.stalled_since.setdefault(job.job_id, self.now)
                self.longest_stall_ms = max(self.longest_stall_ms, self.now - since_ms)


def _limit_of(harness):
    """Return the limit that a cell's owner goes by."""
    account = harness.configuration.account("a")
    return account.limit.cpu_milli if account is not None else 0
