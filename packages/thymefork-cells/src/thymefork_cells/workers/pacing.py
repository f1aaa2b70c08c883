"""Limit the pace of tasks that fill idle processors while they slow down others."""

from ..effects import PaceRun
from ..state import RunState
from .commands import Refusal

__all__ = ["PaceController"]

# Above this ratio of a serving run's tail latency to its target, the pace goes down a
# step.
PACE_DOWN_TAIL_RATIO = 0.75
# Below this ratio it goes up a step.
PACE_UP_TAIL_RATIO = 0.45
PACE_STEPS = (100, 50, 20, 0)
# Delay before a pace command that failed or got no answer is sent again.
PACE_RETRY_DELAY_MS = 200.0
# A pace command without any outcome is sent again after this time.
PACE_OUTCOME_TIMEOUT_MS = 500.0


class PaceController:
    """Set each filling run to a pace that does not slow down serving runs beside it.

    A pace is sent until its worker acknowledges it: a run would otherwise keep an old
    one, maybe 0%, after a lost command or a takeover.
    """

    def __init__(self, *, context):
        self._context = context

    def check(self, now_ms):
        """Check all workers."""
        for worker in self._context.workers.values():
            fillers = [
                run
                for run in worker.runs.values()
                if run.step.fills_idle_cpu and run.state is RunState.LIVE
            ]
            if fillers:
                tail_ratio = _worst_tail_ratio(worker)
                for run in fillers:
                    run.pace_percent = _next_pace(run.pace_percent, tail_ratio)
                    self._send_pace(run, now_ms)

    def _send_pace(self, run, now_ms):
        """Send the wanted pace unless the worker has acknowledged it."""
        if (
            run.acknowledged_pace_percent == run.pace_percent
            or now_ms < run.pace_due_ms
        ):
            return
        run.pace_due_ms = now_ms + PACE_OUTCOME_TIMEOUT_MS
        self._context.emit(PaceRun(run=run, percent=run.pace_percent))

    def on_answer(self, run, percent, answer, *, now_ms):
        """Process the answer to a pace command."""
        if answer.refusal is Refusal.NONE:
            run.acknowledged_pace_percent = percent
            run.pace_due_ms = now_ms
        else:
            run.acknowledged_pace_percent = None
            run.pace_due_ms = now_ms + PACE_RETRY_DELAY_MS
            self._context.count("retries", f"pace_{answer.refusal}")


def _worst_tail_ratio(worker):
    """Return the highest ratio of tail latency to target among the serving runs."""
    serving = [run for run in worker.runs.values() if run.step.target_tail_ms]
    shares = (run.tail_ms / run.step.target_tail_ms for run in serving)
    return max(shares, default=0.0)


def _next_pace(percent, tail_ratio):
    position = PACE_STEPS.index(percent)
    if tail_ratio > 1.0:
        position = len(PACE_STEPS) - 1
    elif tail_ratio > PACE_DOWN_TAIL_RATIO:
        position = min(position + 1, len(PACE_STEPS) - 1)
    elif tail_ratio < PACE_UP_TAIL_RATIO:
        position = max(position - 1, 0)
    return PACE_STEPS[position]
