"""Room that is kept for steps whose tasks need much of a worker at once."""

from attrs import define

__all__ = ["Reservations"]

# A gang that found no room for all its tasks at once waits this long before workers
# are kept for it: most find room by themselves as short tasks end (0.8 s each).
GANG_PATIENCE_MS = 2_000.0
# A single task that needs a large part of a worker waits this long: small tasks take
# each piece of that part as it comes free, so waiting alone brings nothing.
LARGE_PATIENCE_MS = 100.0
# A task counts as large if it takes this share of a worker's processors, memory or
# accelerators. Two of them fill a worker; smaller ones find room as others end.
LARGE_SHARE = 0.4
# The choice of workers is reviewed this often: each is a pass over all workers.
REVIEW_MS = 100.0
# A run's expected end is only an estimate; a task that is let in before the room is
# there has to end this much earlier.
BACKFILL_MARGIN_MS = 200.0
# A step that has not started this long after its room should have been there lacks
# something else, such as tickets: a call for them takes about 1 s. Its workers are
# given back, and kept for it again only after the pause.
OVERDUE_MS = 1_500.0
PAUSE_MS = 3_000.0


@define(kw_only=True, eq=False)
class _Reservation:
    """Hold what is kept for a step.

    `free_at_ms` maps the ids of its workers to when they have room for it, `waiting`
    is how many of its tasks wait, and `promised_ms` when the next should have started.
    """

    step: object
    free_at_ms: dict
    waiting: int
    promised_ms: float


class Reservations:
    """Keep workers from less urgent steps until the waiting step fits on them.

    Tasks that are expected to end before the room is needed are let in. Without it,
    small tasks take every piece of room as it comes, and a gang or a task as large as
    a worker may wait without end while most of the room is free.
    """

    def __init__(self, *, context, durations, forecast):
        self._context = context
        self._durations = durations
        self._forecast = forecast
        self._by_step = {}
        self._by_worker = {}
        self._rank = {}
        self._paused_until_ms = {}
        self._review_due_ms = 0.0

    def review(self, steps, workers_of, now_ms):
        """Choose steps and workers; `steps` come in order, the most urgent first."""
        self._rank = {step: rank for rank, step in enumerate(steps)}
        self._give_up_overdue(now_ms)
        if now_ms < self._review_due_ms and not self._has_served():
            return
        self._review_due_ms = now_ms + REVIEW_MS
        was, self._by_step, self._by_worker = self._by_step, {}, {}
        for step in steps:
            if self._waits_for_room(step, now_ms):
                self._keep(step, workers_of(step), was.get(step), now_ms)

    def permits(self, step, worker, now_ms):
        """Tell whether a step may use a worker."""
        kept = self._by_worker.get(worker.worker_id)
        if kept is None or kept.step is step:
            return True
        if self._rank.get(step, 0) < self._rank.get(kept.step, 0):
            return True
        if step.spec.long_running:
            return False
        expected_ms = self._durations.expected_ms(step.spec, worker)
        ends_ms = now_ms + expected_ms + BACKFILL_MARGIN_MS
        return ends_ms < kept.free_at_ms[worker.worker_id]

    def review_soon(self):
        """Choose anew with the next plan, since runs are being stopped."""
        self._review_due_ms = 0.0

    def _has_served(self):
        """Tell whether a step that workers were kept for has started or ended."""
        return any(not step.job.is_live or not step.waiting for step in self._by_step)

    def _give_up_overdue(self, now_ms):
        """Give the workers back where room was not what a step lacked."""
        for step, kept in list(self._by_step.items()):
            if now_ms < kept.promised_ms + OVERDUE_MS:
                continue
            self._context.count("reservations", "given_up")
            self._context.note("reservation_ends", step=step.name)
            del self._by_step[step]
            self._paused_until_ms[step.name] = now_ms + PAUSE_MS
            self._review_due_ms = now_ms
        self._paused_until_ms = {
            name: until_ms
            for name, until_ms in self._paused_until_ms.items()
            if until_ms > now_ms
        }

    # Choosing ----------------------------------------------------------------

    def _waits_for_room(self, step, now_ms):
        if not step.ready or not step.waiting:
            return False
        if now_ms < self._paused_until_ms.get(step.name, 0.0):
            return False
        waited_ms = now_ms - step.ready_ms
        if step.spec.gang:
            return waited_ms > GANG_PATIENCE_MS and _all_wait(step)
        if step.spec.long_running or waited_ms <= LARGE_PATIENCE_MS:
            return False
        # Room kept idle for jobs that are late only makes others late.
        return self._durations.ends_in_time(step, now_ms)

    def _keep(self, step, workers, was, now_ms):
        """Keep the workers on which the step's tasks would fit soonest."""
        times = self._soonest(step, workers, now_ms)
        if not times:
            return
        next_ms = min(times.values())
        is_under_way = was is not None and was.waiting == len(step.waiting)
        kept = _Reservation(
            step=step,
            free_at_ms=times,
            waiting=len(step.waiting),
            promised_ms=was.promised_ms if is_under_way else next_ms,
        )
        self._by_step[step] = kept
        self._by_worker |= dict.fromkeys(times, kept)
        if was is None:
            self._note(kept, next_ms, now_ms)

    def _soonest(self, step, workers, now_ms):
        """Return when each of the workers is free on which tasks would end first.

        Of a gang's, when all are.
        """
        free_at = []
        usual_ms = self._durations.expected_ms(step.spec)
        for worker in workers:
            if self._may_be_kept(step, worker):
                longer_ms = usual_ms * (worker.slowness - 1.0)
                times = self._forecast.fit_times(worker, step.spec, now_ms)
                free_at += [
                    (at_ms + longer_ms, at_ms, worker.worker_id) for at_ms in times
                ]
        chosen = [row[1:] for row in sorted(free_at)[: len(step.waiting)]]
        if not step.spec.gang:
            return {worker_id: at_ms for at_ms, worker_id in reversed(chosen)}
        if len(chosen) < step.spec.count:
            return {}
        last_ms = max(at_ms for at_ms, _ in chosen)
        return {worker_id: last_ms for _, worker_id in chosen}

    def _may_be_kept(self, step, worker):
        if worker.worker_id in self._by_worker:
            return False
        if step.allowed is not None and worker.worker_id not in step.allowed:
            return False
        if worker.health.on_probation:
            return False  # it gets single tasks until one succeeds
        return step.spec.gang or _is_large(step.spec, worker.entry)

    def _note(self, kept, next_ms, now_ms):
        step = kept.step
        self._context.count("reservations", "gang" if step.spec.gang else "large_task")
        self._context.note(
            "room_reserved",
            step=step.name,
            tasks=step.spec.count,
            workers=len(kept.free_at_ms),
            waited_ms=round(now_ms - step.ready_ms),
            expected_in_ms=round(next_ms - now_ms),
        )


def _all_wait(step):
    return len(step.waiting) == len(step.tasks)


def _is_large(spec, entry):
    """Tell whether a task takes much of a worker in any respect."""
    return (
        spec.reserved_cpu_milli >= LARGE_SHARE * max(1, entry.cpu_milli)
        or spec.memory_mb >= LARGE_SHARE * max(1, entry.memory_mb)
        or spec.accelerators >= LARGE_SHARE * max(1, entry.accelerators)
    )
