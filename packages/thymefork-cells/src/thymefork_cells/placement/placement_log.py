"""Log which steps start and why others wait."""

from attrs import define, field

from .exclusions import DECIDED_HERE

__all__ = ["PlacementLog"]

# How often a waiting step is logged.
WAIT_LOG_INTERVAL_MS = 2_000.0
# How often the reasons for a wait are looked up: that is a pass over all workers.
REASONS_INTERVAL_MS = 200.0
# Bounds the probes named in a log line.
MAX_LOGGED_PROBES = 5


@define(kw_only=True)
class PlacementLog:
    """Log task starts, and what waiting steps lack.

    Units: `_reasons_due_ms` on the steady clock.
    """

    _context = field()
    _advice = field()
    _quotas = field()
    _dominant_shares = field()
    _exclusions = field()
    _losses = field()
    _reasons_due_ms: float = field(default=0.0, init=False)

    def log_starts(self, step, starts, wanted, now_ms):
        """Log one line for all tasks of a step that start at once."""
        if not starts:
            return
        waited_ms = now_ms - step.ready_ms
        idle_ms = max(task.idle_ms(now_ms) for task, _ in starts)
        self._context.observe("queue_wait", waited_ms, kind=step.job.queue_name)
        self._context.observe("task_idle", idle_ms, kind=step.job.queue_name)
        self._context.note(
            "tasks_start",
            job=step.job.job_id,
            step=step.name,
            tasks=len(starts),
            copies=sum(len(task.runs) > 1 for task, _ in starts),
            suspected=sum(bool(task.losses) for task, _ in starts),
            left=wanted - len(starts),
            workers=len({worker.worker_id for _, worker in starts}),
            waited_ms=round(waited_ms),
            idle_ms=round(idle_ms),
            account=step.job.account_name,
            **self._count_starts_by_share(step, len(starts), now_ms),
            configuration=self._context.configuration.version,
        )

    def _count_starts_by_share(self, step, count, now_ms):
        """Count starts by their account's job rate share; return the log fields."""
        name = step.job.account_name
        if not self._dominant_shares.tracks(name):
            return {}
        reason = "beyond_share" if step.job.is_beyond_share else "within_share"
        if self._dominant_shares.is_starved(name, now_ms):
            reason = "stood_still"
        self._context.count("starts_by_share", reason, count)
        return {"turn": reason, "account_uses": self._account_uses(step)}

    def _account_uses(self, step):
        """Return the recent dominant share of a step's account."""
        return round(self._dominant_shares.used(step.job.account_name), 3)

    def count_speeds(self, scorer, starts, workers):
        """Count starts by whether the step needs and gets a fast worker."""
        if not starts:
            return
        labels = scorer.metric_labels(workers)
        for _, worker in starts:
            self._context.count("placed_by_speed", labels[worker.slowness])

    def log_wait(self, step, workers, now_ms):
        """Log why the tasks of a step are still waiting."""
        if now_ms - max(step.ready_ms, step.wait_logged_ms) <= WAIT_LOG_INTERVAL_MS:
            return
        waiting = step.waiting
        if not waiting:
            return
        step.wait_logged_ms = now_ms
        with_ticket = self._advice.with_ticket(step, workers, now_ms)
        self._context.note(
            "step_waits",
            step=step.name,
            job=step.job.job_id,
            tasks=len(waiting),
            cpu_milli=step.spec.cpu_milli,
            memory_mb=step.spec.memory_mb,
            for_ms=round(now_ms - step.ready_ms),
            idle_ms=round(step.longest_wait_ms(now_ms)),
            job_runs=len(step.job.runs),
            account=step.job.account_name,
            beyond_share=step.job.is_beyond_share,
            account_uses=self._account_uses(step),
            account_allows=self._quotas.tasks_allowed(step, now_ms),
            **_worker_counts(step, workers, with_ticket),
            **self._reasons(step, now_ms),
            suspects=sum(bool(task.losses) for task in waiting),
            await_news=sum(self._losses.awaits_news(task) for task in waiting),
            allowed=-1 if step.allowed is None else len(step.allowed),
            denied=len(step.denied),
            advice_asked=step.advice_asked,
        )

    def _reasons(self, step, now_ms):
        """Return log fields with why a step can't use its service's workers.

        They are looked up for steps that stand still, and not for all of these at once.
        """
        stands_still = not step.job.runs or step.spec.long_running
        if not stands_still or now_ms < self._reasons_due_ms:
            return {}
        self._reasons_due_ms = now_ms + REASONS_INTERVAL_MS
        excluded = self._exclusions.count(step, now_ms)
        for reason in DECIDED_HERE & excluded.keys():
            self._context.count("waits_beside_room", str(reason))
        return {
            "excluded": {str(reason or "none"): n for reason, n in excluded.items()},
            "probes": self._probes(step),
        }

    def _probes(self, step):
        """Return the first probes without a verdict on the step's workers."""
        service = self._context.service_of(step.job)
        probes = [
            worker.health.probe
            for worker in self._context.workers.values()
            if worker.entry.service == service and worker.health.awaits_probe
        ]
        return [f"{run.task.name}/{run.run_id}" for run in probes[:MAX_LOGGED_PROBES]]


def _worker_counts(step, workers, with_ticket):
    """Return log fields with the number of workers by what they offer."""
    with_room = [
        worker for worker in workers.values() if worker.has_capacity(step.spec)
    ]
    large_enough = [
        worker for worker in with_ticket if worker.fits_when_empty(step.spec)
    ]
    return {
        "workers": len(workers),
        "with_room": len(with_room),
        "with_ticket": len(with_ticket),
        "large_enough": len(large_enough),
    }
