"""Holding back tasks that fill idle processors while they disturb others."""

from ..effects import PaceRun
from ..state import RunState
from .commands import Refusal

__all__ = ["PaceController"]

# A task is held back further once a neighbour's tail reaches this share of its target,
# and let go a step below the second share.
TAIL_HIGH = 0.75
TAIL_LOW = 0.45
PACE_STEPS = (100, 50, 20, 0)
# An order that was not carried out, or not answered, is repeated after this long.
PACE_AGAIN_MS = 200.0
# One whose outcome is not known at all is repeated after this long: orders are
# answered, or given up, within 0.3 s.
PACE_LOST_MS = 500.0


class PaceController:
    """Bring each filling run to the pace that its neighbours bear.

    A pace is wanted until its worker has taken it: after a lost order, under a new
    owner, or once nobody is disturbed any more, a task would otherwise keep the pace
    it was told last, at worst none at all, for as long as it ran.
    """

    def __init__(self, *, context):
        self._context = context

    def check(self, now_ms):
        """Look over all workers."""
        for worker in self._context.workers.values():
            filling = [
                run
                for run in worker.runs.values()
                if run.step.fills_idle_cpu and run.state is RunState.LIVE
            ]
            if filling:
                strain = _strain(worker)
                for run in filling:
                    run.pace_percent = _next_pace(run.pace_percent, strain)
                    self._tell(run, now_ms)

    def _tell(self, run, now_ms):
        """Send the wanted pace where the worker is not known to keep it."""
        if (
            run.acknowledged_pace_percent == run.pace_percent
            or now_ms < run.pace_due_ms
        ):
            return
        run.pace_due_ms = now_ms + PACE_LOST_MS
        self._context.emit(PaceRun(run=run, percent=run.pace_percent))

    def on_answer(self, run, percent, answer, *, now_ms):
        """Apply the answer to an order to pace a run."""
        if answer.refusal is Refusal.NONE:
            run.acknowledged_pace_percent = percent
            run.pace_due_ms = now_ms
        else:
            run.acknowledged_pace_percent = None
            run.pace_due_ms = now_ms + PACE_AGAIN_MS
            self._context.count("retries", f"pace_{answer.refusal}")


def _strain(worker):
    """Return the worst tail of a worker's serving runs as a share of its target."""
    serving = [run for run in worker.runs.values() if run.step.target_tail_ms]
    shares = (run.tail_ms / run.step.target_tail_ms for run in serving)
    return max(shares, default=0.0)


def _next_pace(percent, strain):
    position = PACE_STEPS.index(percent)
    if strain > 1.0:
        position = len(PACE_STEPS) - 1
    elif strain > TAIL_HIGH:
        position = min(position + 1, len(PACE_STEPS) - 1)
    elif strain < TAIL_LOW:
        position = max(position - 1, 0)
    return PACE_STEPS[position]
