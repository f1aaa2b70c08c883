"""Runs that stand still or that disturb others."""

from .effects import PaceRun
from .state import RunState

__all__ = ["Watch"]

# A run whose progress has not changed for this long while its worker answers stands
# still. Progress is told in whole percent, so for tasks over 50 s it is this share of
# the usual time, three steps of it, and twice as long after each stop.
STANDSTILL_MS = 1_500.0
STANDSTILL_SHARE = 0.03
# A worker is slow while half of its runs take this many times as long as usual: more
# than sound workers of unlike speed differ by, and than data on another rack costs.
SLOW = 2.2
SLOW_PAUSE_MS = 2_000.0
# Progress that was listed longer ago than this says nothing of the present.
FRESH_MS = 900.0
# Tasks that fill idle processors are held back once a neighbour's tail reaches this
# share of its target, and let go again below the second share.
TAIL_HIGH = 0.75
TAIL_LOW = 0.45
PACE_STEPS = (100, 50, 20, 0)


class Watch:
    """Stop what stands still; slow down what disturbs tasks with users."""

    def __init__(self, *, context, lifecycle, images):
        self._context = context
        self._images = images
        self._lifecycle = lifecycle

    def check(self, now_ms):
        """Look over all runs."""
        for worker in self._context.workers.values():
            serving = [run for run in worker.runs.values() if run.step.target_tail_ms]
            if serving:
                self._pace_neighbours(worker, serving)
            self._judge_speed(worker, now_ms)
            for run in list(worker.runs.values()):
                if self._stands_still(run):
                    self._stop_still(run, now_ms)
                elif self._should_move(run, now_ms):
                    self._move(run, now_ms)

    def _judge_speed(self, worker, now_ms):
        """Give a worker nothing new while its runs are far slower than usual."""
        if now_ms < worker.slow_until_ms:
            return
        paces = [
            self._images.slowness(run)
            for run in worker.runs.values()
            if run.state is RunState.LIVE and run.listed_ms > now_ms - FRESH_MS
        ]
        paces = sorted(pace for pace in paces if pace is not None)
        if len(paces) >= 2 and paces[len(paces) // 2] > SLOW:
            worker.slow_until_ms = now_ms + SLOW_PAUSE_MS
            self._context.count("workers_paused", "slow")
            self._context.note(
                "worker_slow",
                worker=worker.worker_id,
                times_as_long=round(paces[len(paces) // 2], 1),
                runs=len(paces),
            )

    def _should_move(self, run, now_ms):
        """Tell whether a run would end sooner if it were started again elsewhere."""
        if run.state is not RunState.LIVE or run.step.gang or run.step.speculative:
            return False
        if run.listed_ms < now_ms - FRESH_MS or not run.worker.slow_until_ms:
            return False
        return self._images.late_ms(run, now_ms) > 0

    def _move(self, run, now_ms):
        run.task.avoided.add(run.worker.worker_id)
        self._context.count("run_ends", "moved_from_slow_worker")
        self._context.note(
            "run_moves",
            task=run.task.name,
            run=run.run_id,
            worker=run.worker.worker_id,
            percent=run.percent,
            left_ms=round(self._images.left_ms(run, now_ms)),
        )
        self._lifecycle.stop(run, "its worker is slow", now_ms=now_ms)

    def _stands_still(self, run):
        if run.state is not RunState.LIVE or run.step.long_running:
            return False
        if run.pace_percent < 100 or run.step.fills_idle_cpu:
            return False
        if run.step.gang and run.percent >= 100:
            return False  # it waits for slower members: a gang ends as one
        usual_ms = self._images.expected_ms(run.step)
        patience_ms = max(STANDSTILL_MS, STANDSTILL_SHARE * usual_ms)
        patience_ms *= 2**run.task.standstills
        return run.listed_ms - run.percent_changed_ms > patience_ms

    def _stop_still(self, run, now_ms):
        run.task.avoided.add(run.worker.worker_id)
        run.task.standstills += 1
        run.worker.health.pause(now_ms)
        self._context.count("run_ends", "stood_still")
        self._context.note(
            "run_stands_still",
            task=run.task.name,
            run=run.run_id,
            worker=run.worker.worker_id,
            percent=run.percent,
            for_ms=round(run.listed_ms - run.percent_changed_ms),
        )
        self._lifecycle.stop(run, "it stands still", now_ms=now_ms)

    def _pace_neighbours(self, worker, serving):
        worst = max(run.tail_ms / run.step.target_tail_ms for run in serving)
        for run in worker.runs.values():
            if not run.step.fills_idle_cpu or run.state is not RunState.LIVE:
                continue
            position = PACE_STEPS.index(run.pace_percent)
            if worst > TAIL_HIGH and position + 1 < len(PACE_STEPS):
                position = len(PACE_STEPS) - 1 if worst > 1.0 else position + 1
            elif worst < TAIL_LOW and position > 0:
                position -= 1
            percent = PACE_STEPS[position]
            if percent != run.pace_percent:
                run.pace_percent = percent
                self._context.emit(PaceRun(run=run, percent=percent))
