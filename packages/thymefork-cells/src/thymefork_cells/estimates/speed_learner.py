"""Learn the speeds of a cell's workers from their runs."""

from math import exp

from ..effects import AnnounceSpeeds
from .speed_announcements import SpeedAnnouncements

__all__ = ["SpeedLearner"]

# Interval of reviews; each is a pass over all workers.
REVIEW_MS = 500.0
# Progress and run time from which a run's total duration can be extrapolated.
MIN_PERCENT = 15
MIN_SPAN_MS = 300.0
# How often speeds are logged while workers are heterogeneous.
LOG_INTERVAL_MS = 10_000.0
# Interval and size of announcements to the other members.
ANNOUNCE_INTERVAL_MS = 2_000.0
MAX_ANNOUNCED = 24
# Limit of newly slow or fast workers that are logged one by one in a review.
MAX_LOGGED = 8


class SpeedLearner:
    """Learn from successful runs and set the slowness of each worker."""

    def __init__(self, *, context, durations, speeds):
        self._context = context
        self._durations = durations
        self._speeds = speeds
        self._announcements = SpeedAnnouncements(speeds=speeds)
        self._review_due_ms = 0.0
        self._log_due_ms = 0.0
        self._announce_due_ms = 0.0

    def on_report(self, worker, report, now_ms):
        """Learn from the tasks that a worker reports as done."""
        for key in {
            (row.task, row.run_id) for row in report.ended if row.how == "done"
        }:
            run = worker.runs.get(key)
            if run is not None and run.has_known_duration:
                self.on_done(run, now_ms)

    def on_done(self, run, now_ms):
        """Learn from a successful run that this owner saw begin."""
        took_ms = now_ms - run.began_ms
        self._durations.learn(run.step.image, took_ms / run.slowness)
        if not run.is_speed_learned:
            self._learn(run, took_ms, now_ms)

    def _learn_from_progress(self, now_ms):
        """Learn from the progress of running runs, since long ones end late."""
        for worker in self._context.workers.values():
            for run in worker.runs.values():
                if not run.is_speed_learned and _has_measurable_progress(run):
                    run.is_speed_learned = True
                    span_ms = run.reported_ms - run.began_ms
                    self._learn(run, span_ms * 100.0 / run.percent, now_ms)

    def _learn(self, run, took_ms, now_ms):
        """Learn from the measured or extrapolated duration of a run."""
        if not _reflects_worker_speed(run):
            return
        is_outlier = self._speeds.learn(
            worker=run.worker,
            step_name=run.task.step.name,
            step=run.step,
            took_ms=took_ms,
            now_ms=now_ms,
        )
        if is_outlier:
            self._context.count("speeds", "outlier")

    def inherit(self, speeds, *, now_ms):
        """Start with the speeds that previous owners learned."""
        if not speeds:
            return
        self._speeds.inherit(speeds, now_ms)
        self._announcements.inherit(speeds)
        self._context.note("speeds_inherited", machines=len(speeds))
        self._review(now_ms)

    def review(self, now_ms):
        """Update, log and announce the workers' slowness if a review is due."""
        if now_ms >= self._review_due_ms:
            self._review(now_ms)

    def _review(self, now_ms):
        self._review_due_ms = now_ms + REVIEW_MS
        self._learn_from_progress(now_ms)
        workers = self._context.workers.values()
        machines = list(dict.fromkeys(worker.machine for worker in workers))
        if not machines:
            return
        if self._speeds.review(machines):
            kind = "uneven" if self._speeds.is_heterogeneous else "even"
            self._context.count("speeds", kind)
            self._context.note("workers_are", speeds=kind, workers=len(machines))
        for worker in workers:
            worker.slowness = self._speeds.slowness(worker.machine)
        if not self._speeds.is_heterogeneous:
            return
        self._log(machines, now_ms)
        self._announce(machines, now_ms)

    def _log(self, machines, now_ms):
        """Log workers that became slow or fast, and periodically all speeds."""
        found = self._speeds.newly_notable(machines)
        for machine, kind, log_slowness in found[:MAX_LOGGED]:
            slowness = round(exp(log_slowness), 2)
            self._context.note(
                "worker_speed", machine=machine, kind=kind, slowness=slowness
            )
        for _, kind, _ in found:
            self._context.count("speeds", kind)
        if now_ms < self._log_due_ms:
            return
        self._log_due_ms = now_ms + LOG_INTERVAL_MS
        rows = sorted(exp(self._speeds.log_slowness(machine)) for machine in machines)
        self._context.note(
            "worker_speeds",
            workers=len(rows),
            fastest=round(rows[0], 2),
            p10=round(rows[len(rows) // 10], 2),
            p50=round(rows[len(rows) // 2], 2),
            p90=round(rows[9 * len(rows) // 10], 2),
            slowest=round(rows[-1], 2),
        )

    def _announce(self, machines, now_ms):
        if now_ms < self._announce_due_ms:
            return
        self._announce_due_ms = now_ms + ANNOUNCE_INTERVAL_MS
        announced = self._announcements.next_batch(machines, MAX_ANNOUNCED, now_ms)
        if announced:
            self._context.emit(AnnounceSpeeds(speeds=tuple(announced)))


def _has_measurable_progress(run):
    """Return whether a run's duration can be extrapolated from its progress."""
    if run.percent < MIN_PERCENT or run.percent >= 100 or not run.has_known_duration:
        return False
    return run.percent_changed_ms - run.began_ms >= MIN_SPAN_MS


def _reflects_worker_speed(run):
    """Return whether a run's duration depends on its worker's speed alone."""
    step = run.step
    if step.gang or step.long_running or step.fills_idle_cpu:
        return False
    if run.pace_percent < 100 or not run.began_ms:
        return False
    return not step.preferred_rack or step.preferred_rack == run.worker.entry.rack
