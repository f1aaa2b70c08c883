"""Detect stalled runs and slow workers."""

from ..state import RunState

__all__ = ["ProgressMonitor"]

# A run is stalled if its progress, in whole percent, does not change for this time and
# this fraction of its expected duration. The time doubles with each stall of a task.
MIN_STALL_MS = 1_500.0
STALL_FRACTION = 0.03
# A worker is slow if half of its runs take this many times as long as expected. Healthy
# workers of unknown speed, or with data on another rack, stay below it.
SLOW_FACTOR = 2.2
SLOW_WORKER_PAUSE_MS = 2_000.0
# Progress that was reported longer ago is ignored.
MAX_PROGRESS_AGE_MS = 900.0


class ProgressMonitor:
    """Stop stalled runs, and restart runs of slow workers elsewhere."""

    def __init__(self, *, context, lifecycle, durations):
        self._context = context
        self._durations = durations
        self._lifecycle = lifecycle

    def check(self, now_ms):
        """Check all runs, those of probes included."""
        for worker in self._context.workers.values():
            self._check_speed(worker, now_ms)
            worker.health.check_probe(now_ms)
            for run in list(worker.runs.values()):
                if self._is_stalled(run):
                    self._stop_stalled(run, now_ms)
                elif self._should_move(run, now_ms):
                    self._move(run, now_ms)

    def _check_speed(self, worker, now_ms):
        """Pause a worker whose runs take far longer than expected."""
        if now_ms < worker.slow_pause_until_ms:
            return
        overruns = [
            self._durations.overrun_factor(run)
            for run in worker.runs.values()
            if run.state is RunState.LIVE
            and run.reported_ms > now_ms - MAX_PROGRESS_AGE_MS
        ]
        overruns = sorted(factor for factor in overruns if factor is not None)
        if len(overruns) >= 2 and overruns[len(overruns) // 2] > SLOW_FACTOR:
            worker.slow_pause_until_ms = now_ms + SLOW_WORKER_PAUSE_MS
            self._context.count("workers_paused", "slow")
            self._context.note(
                "worker_slow",
                worker=worker.worker_id,
                times_as_long=round(overruns[len(overruns) // 2], 1),
                runs=len(overruns),
            )

    def _should_move(self, run, now_ms):
        """Return whether a run would end sooner if it were restarted elsewhere."""
        if run.state is not RunState.LIVE or run.step.gang or run.step.speculative:
            return False
        if (
            run.reported_ms < now_ms - MAX_PROGRESS_AGE_MS
            or not run.worker.slow_pause_until_ms
        ):
            return False
        return self._durations.late_ms(run, now_ms) > 0

    def _move(self, run, now_ms):
        run.task.avoid(run.worker.worker_id, now_ms)
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

    def _is_stalled(self, run):
        if run.state is not RunState.LIVE or run.step.long_running:
            return False
        if run.pace_percent < 100 or run.step.fills_idle_cpu:
            return False
        if run.step.gang and run.percent >= 100:
            return False  # it waits for slower members
        if run.step.gang and not run.task.step.is_gang_complete(run.run_id):
            return False  # it waits for missing members (see gang_monitor.py)
        usual_ms = self._durations.expected_ms(run.step, run.worker)
        stall_timeout_ms = max(MIN_STALL_MS, STALL_FRACTION * usual_ms)
        stall_timeout_ms *= 2**run.task.stalls
        return run.reported_ms - run.percent_changed_ms > stall_timeout_ms

    def _stop_stalled(self, run, now_ms):
        run.task.avoid(run.worker.worker_id, now_ms)
        run.task.stalls += 1
        run.worker.health.pause(now_ms)
        self._context.count("run_ends", "stood_still")
        self._context.note(
            "run_stands_still",
            task=run.task.name,
            run=run.run_id,
            worker=run.worker.worker_id,
            percent=run.percent,
            for_ms=round(run.reported_ms - run.percent_changed_ms),
        )
        self._lifecycle.stop(run, "its progress has stalled", now_ms=now_ms)
