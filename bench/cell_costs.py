"""CPU cost of a cell's decisions by the number of its workers, on virtual time.

The load is short steps of six tasks, each on a quarter of a worker of 16 cores,
submitted at a constant rate, with and without calls for advice. The cost of a cycle is
measured in CPU time.
"""

import argparse
import time
from itertools import count

from attrs import evolve

from thymefork_cells.effects import StartRun
from thymefork_cells.specs import AccountPolicy, ResourceLimit
from thymefork_cells.tests.harness import Harness, job_spec

__all__ = ["main", "measure"]

SIZES = (24, 90, 270, 640)
RATES = (100, 300)
TASKS = 6
SPAN_MS = 3_000
POLICY = {"decision_ms": 30.0, "per_worker_ms": 0.4, "valid_ms": 2_500.0}


class MeasuredHarness(Harness):
    """Measure the cost of decisions alone, without the virtual workers and store."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.cycles_ms = []
        self.starts = 0

    def _decide(self, cell):
        began_s = time.process_time()
        super()._decide(cell)
        self.cycles_ms.append((time.process_time() - began_s) * 1000.0)

    def _perform(self, cell, effect):
        self.starts += isinstance(effect, StartRun)
        super()._perform(cell, effect)


def _submit(harness, rate, numbers, accounts=0):
    """Submit steps of six tasks at a rate that needs `rate` starts per second."""
    spec = {"count": TASKS, "cpu_milli": 3_600, "estimated_ms": 800, "memory_mb": 500}
    pause_ms = 1_000.0 * TASKS / rate
    for _ in range(int(SPAN_MS / pause_ms)):
        number = next(numbers)
        account = f"a{number % accounts}" if accounts else ""
        harness.submit(f"{number:016x}", job_spec(spec), account_name=account)
        harness.run(pause_ms)


def measure(workers, rate, *, advice=None, accounts=0):
    """Return the cost of a start in ms, p99 of a cycle in ms, and starts per second."""
    harness = MeasuredHarness(
        workers=workers,
        cpu_milli=16_000,
        advice=advice,
        hall=lambda number: f"hall-{number % 5}",
    )
    if accounts:
        harness.configuration = _with_accounts(harness.configuration, accounts)
    harness.take_over()
    harness.run(500)
    numbers = count()
    _submit(harness, rate, numbers, accounts)
    harness.cycles_ms.clear()
    harness.starts = 0
    _submit(harness, rate, numbers, accounts)
    cycles = sorted(harness.cycles_ms)
    start_ms = sum(cycles) / max(1, harness.starts)
    return start_ms, cycles[int(0.99 * len(cycles))], harness.starts * 1000.0 / SPAN_MS


def _with_accounts(configuration, count):
    """Return the configuration with account limits of twice the total capacity."""
    limit = ResourceLimit(cpu_milli=2 * max(SIZES) * 16_000 // count + TASKS * 3_600)
    accounts = tuple(
        AccountPolicy(name=f"a{number}", weight=1.0, limit=limit)
        for number in range(count)
    )
    return evolve(configuration, accounts=accounts)


def main():
    """Print a row for each rate, policy and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    sizes = parser.parse_known_args()[0].sizes
    print("workers  starts/s  policy    ms/start      cycle p99, ms  starts/s seen")
    for rate in RATES:
        for advice in (None, POLICY):
            for size in sizes:
                row = measure(size, rate, advice=advice)
                label = "yes" if advice else "no"
                print(
                    f"{size:7d}  {rate:8d}  {label:>6}  "
                    f"{row[0]:10.3f}  {row[1]:17.2f}  {row[2]:13.0f}"
                )


if __name__ == "__main__":
    main()
