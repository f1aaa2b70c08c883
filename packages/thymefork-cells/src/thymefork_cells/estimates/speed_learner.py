"""Learning how fast a cell's workers are from the ends of their runs."""

from math import exp

from ..effects import AnnounceSpeeds
from .speed_announcements import SpeedAnnouncements

__all__ = ["SpeedLearner"]

# Whether workers are uneven, and how slow each is, is judged anew this often: each
# review is a pass over all workers, and a worker ends a few runs in between.
REVIEW_MS = 500.0
# Progress is told in whole percent and read at looks: from here on it tells a run's
# whole time to within a tenth.
LEAST_PERCENT = 15
LEAST_SPAN_MS = 300.0
# Speeds are logged this often while workers are uneven.
NOTE_MS = 10_000.0
# The other members are told this often, of so many machines at most: some hundred bytes
# a second on each link, and all is told within some seconds.
TELL_MS = 2_000.0
MOST_TOLD = 24
# Of the workers that turn out slow or fast at a time, so many are logged each.
MOST_NOTED = 8


class SpeedLearner:
    """Learn from good ends and give each worker its slowness."""

    def __init__(self, *, context, durations, speeds):
        self._context = context
        self._durations = durations
        self._speeds = speeds
        self._news = SpeedAnnouncements(speeds=speeds)
        self._review_due_ms = 0.0
        self._note_due_ms = 0.0
        self._tell_due_ms = 0.0

    def on_done(self, run, now_ms):
        """Learn from the good end of a run that this owner saw begin."""
        took_ms = now_ms - run.began_ms
        self._durations.learn(run.step.image, took_ms / run.slowness)
        if not run.is_speed_learned:
            self._learn(run, took_ms, now_ms)

    def _learn_from_progress(self, now_ms):
        """Learn from runs that are some way on: long ones end only much later."""
        for worker in self._context.workers.values():
            for run in worker.runs.values():
                if not run.is_speed_learned and _is_some_way_on(run):
                    run.is_speed_learned = True
                    span_ms = run.listed_ms - run.began_ms
                    self._learn(run, span_ms * 100.0 / run.percent, now_ms)

    def _learn(self, run, took_ms, now_ms):
        """Learn from the whole time of a run, as it was or as it is going to be."""
        if not _tells_of_worker(run):
            return
        is_set_aside = self._speeds.learn(
            worker=run.worker,
            step_name=run.task.step.name,
            step=run.step,
            took_ms=took_ms,
            now_ms=now_ms,
        )
        if is_set_aside:
            self._context.count("speeds", "outlier")

    def inherit(self, speeds, *, now_ms):
        """Begin with what earlier owners have learned."""
        if not speeds:
            return
        self._speeds.inherit(speeds, now_ms)
        self._news.inherit(speeds)
        self._context.note("speeds_inherited", machines=len(speeds))
        self._review(now_ms)

    def review(self, now_ms):
        """Give workers their slowness, log and tell what has changed, now and then."""
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
        self._note(machines, now_ms)
        self._tell(machines, now_ms)

    def _note(self, machines, now_ms):
        """Log who turned out slow or fast, and all speeds from time to time."""
        found = self._speeds.newly_notable(machines)
        for machine, kind, log_slowness in found[:MOST_NOTED]:
            slowness = round(exp(log_slowness), 2)
            self._context.note(
                "worker_speed", machine=machine, kind=kind, slowness=slowness
            )
        for _, kind, _ in found:
            self._context.count("speeds", kind)
        if now_ms < self._note_due_ms:
            return
        self._note_due_ms = now_ms + NOTE_MS
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

    def _tell(self, machines, now_ms):
        if now_ms < self._tell_due_ms:
            return
        self._tell_due_ms = now_ms + TELL_MS
        news = self._news.next_batch(machines, MOST_TOLD, now_ms)
        if news:
            self._context.emit(AnnounceSpeeds(speeds=tuple(news)))


def _is_some_way_on(run):
    """Tell whether a run's progress tells how long it takes."""
    if run.percent < LEAST_PERCENT or run.percent >= 100 or not run.has_known_duration:
        return False
    return run.percent_changed_ms - run.began_ms >= LEAST_SPAN_MS


def _tells_of_worker(run):
    """Tell whether a run's time says how fast its worker is."""
    step = run.step
    if step.gang or step.long_running or step.fills_idle_cpu:
        return False
    if run.pace_percent < 100 or not run.began_ms:
        return False
    return not step.preferred_rack or step.preferred_rack == run.worker.entry.rack
