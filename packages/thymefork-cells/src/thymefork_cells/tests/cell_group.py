"""Several simulated cells, and the links between their owners."""

import simpy
from attrs import evolve

from thymefork_cells.specs import AccountPolicy, ResourceLimit

from .harness import Harness
from .idle_cell_owners import LINK_MS

__all__ = ["CellGroup"]


class CellGroup:
    """Run a harness for each cell, and deliver the messages between their owners.

    `delivery_delays(message)` returns the delay of each copy of a message in
    milliseconds, none if it is lost. `is_link_down(one, other)` returns whether two
    owners can't reach each other. A replaced limit may be in force for another
    `applied_ms`. `max_cpu_milli` is the account's maximum cpu over all cells;
    `violations` lists when it exceeded every limit in force.
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
        """Make some cells, by default all, read a configuration with a new limit."""
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
        """Kill the owner of a cell; a new one takes over after a while."""
        harness = self.cells[cell]
        harness.is_owner_down = True
        harness.run_after(for_ms, harness.take_over)

    def cpu_running(self, cell=None):
        """Return the cpu in use in a cell, or in all cells."""
        cells = self.cells if cell is None else [self.cells[cell]]
        return sum(
            harness._cpu_of(task) for harness in cells for task, _ in harness.running()
        )

    # Interface of `Harness.owners` ---------------------------------------------

    def on_taken_over(self):
        """Do nothing: the links are up."""

    def send(self, message):
        """Deliver each copy of a message."""
        self.messages += 1
        for after_ms in self.delivery_delays(message):
            self.env.process(self._deliver(message, after_ms))

    def _deliver(self, message, after_ms):
        yield self.env.timeout(after_ms)
        harness = self.cells[message.to_cell]
        if not harness.is_owner_down and not self.is_link_down(
            message.borrower, message.lender
        ):
            harness.cell.on_parts(message, now_ms=self.now)

    # Invariants ----------------------------------------------------------------

    def _watch(self):
        """Check the cpu in use periodically."""
        most_before = 0
        while True:
            running = self.cpu_running()
            if running > most_before and running > self._highest_limit():
                self.violations.append((self.now, running))
            most_before = running
            self.max_cpu_milli = max(self.max_cpu_milli, running)
            if self.now % 50 == 0:
                self._check_stalls(running)
            yield self.env.timeout(5)

    def _highest_limit(self):
        """Return the highest limit that is, or was recently, in force."""
        in_force = [_limit_of(harness) for harness in self.cells]
        replaced = [
            cpu_milli
            for at_ms, cpu_milli in self._replaced
            if self.now - at_ms < self.applied_ms
        ]
        return max(in_force + replaced)

    def _check_stalls(self, running):
        """Record how long a job has run nothing with under half of the limit in use."""
        is_under_half = 2 * running < min(map(_limit_of, self.cells))
        for harness in self.cells:
            if harness.is_owner_down:
                continue
            for job in harness.cell.context.live_jobs.values():
                if job.runs or not is_under_half:
                    self.stalled_since.pop(job.job_id, None)
                    continue
                since_ms = self.stalled_since.setdefault(job.job_id, self.now)
                self.longest_stall_ms = max(self.longest_stall_ms, self.now - since_ms)


def _limit_of(harness):
    """Return the cpu limit in a cell owner's configuration."""
    account = harness.configuration.account("a")
    return account.limit.cpu_milli if account is not None else 0
