"""Runs that stand still or whose worker is slow."""

from ..state import RunState

__all__ = ["ProgressMonitor"]

# A run whose progress has not changed for this long while its worker answers stands
# still. Progress is told in whole percent, so for tasks over 50 s it is this share of
# the usual time, three steps of it, and twice as long after each stop.
STANDSTILL_MS = 1_500.0
STANDSTILL_SHARE = 0.03
# A worker is slow while half of its runs take this many times as long as usual there:
# more than sound workers that are not known yet differ by, and than data on another
# rack costs.
SLOW = 2.2
SLOW_PAUSE_MS = 2_000.0
# Progress that was listed longer ago than this says nothing of the present.
FRESH_MS = 900.0


class ProgressMonitor:
    """Stop what stands still; move what would end sooner elsewhere."""

    def __init__(self, *, context, lifecycle, durations):
        self._context = context
        self._durations = durations
        self._lifecycle = lifecycle

    def check(self, now_ms):
        """Look over all runs."""
        for worker in self._context.workers.values():
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
            self._durations.overrun_factor(run)
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
        return self._durations.late_ms(run, now_ms) > 0

    def _move(self, run, now_ms):
        run.task.avoided_workers.add(run.worker.worker_id)
        self._context.count("run_ends", "moved_from_slow_worker")
        self._context.note(
            "run_moves",
            task=run.task.name,
            run=run.run_id,
            worker=run.worker.worker_id,
            percent=run.percent,
            left_ms=round(self._durations.left_ms(run, now_ms)),
        )
        self._lifecycle.stop(run, "its worker is slow", now_ms=now_ms)

    def _stands_still(self, run):
        if run.state is not RunState.LIVE or run.step.long_running:
            return False
        if run.pace_percent < 100 or run.step.fills_idle_cpu:
            return False
        if run.step.gang and run.percent >= 100:
            return False  # it waits for slower members: a gang ends as one
        if run.step.gang and not run.task.step.is_gang_complete(run.run_id):
            return False  # it waits for members that are missing (see gang_watch.py)
        usual_ms = self._durations.expected_ms(run.step, run.worker)
        patience_ms = max(STANDSTILL_MS, STANDSTILL_SHARE * usual_ms)
        patience_ms *= 2**run.task.stalls
        return run.listed_ms - run.percent_changed_ms > patience_ms

    def _stop_still(self, run, now_ms):
        run.task.avoided_workers.add(run.worker.worker_id)
        run.task.stalls += 1
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
