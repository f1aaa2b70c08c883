"""Report when the simulated platform's event loop stalls, and on what.

A stall with as much processor time as it lasted is the platform's own work; one with
little is a machine that did not run it.
"""

import sys
import time

from thymefork_net import steady_ms

__all__ = ["StallMonitor"]

TICK_MS = 100.0
# Well below the time-out of the soak's control calls.
REPORT_AFTER_MS = 1_000.0


class StallMonitor:
    """Print one line for each stall of an event loop, and count them."""

    def __init__(self, *, timers, clock_ms=steady_ms, out=sys.stderr):
        self.stalls = 0
        self._clock_ms = clock_ms
        self._out = out
        self._last_ms = clock_ms()
        self._last_cpu_ms = time.process_time() * 1000.0
        timers.every(TICK_MS, self.check)

    def check(self):
        """Report the time since the last check if it was far too long."""
        now_ms, cpu_ms = self._clock_ms(), time.process_time() * 1000.0
        gap_ms, worked_ms = now_ms - self._last_ms, cpu_ms - self._last_cpu_ms
        self._last_ms, self._last_cpu_ms = now_ms, cpu_ms
        if gap_ms < REPORT_AFTER_MS:
            return
        self.stalls += 1
        print(
            f"simulated platform stalled for {gap_ms:.0f} ms, in which it used"
            f" {worked_ms:.0f} ms of processor time",
            file=self._out,
            flush=True,
        )
