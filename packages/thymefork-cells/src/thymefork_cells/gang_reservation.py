"""Room that is kept for a gang which has waited for long."""

from .state import RunState

__all__ = ["GangReservation"]

# A gang that found no room for all its tasks at once waits this long before workers
# are kept for it: most find room by themselves as short tasks end (0.8 s each).
PATIENCE_MS = 2_000.0
# The choice of workers is reviewed this often: it takes about 1 ms for 80 workers.
REVIEW_MS = 100.0
# A run's expected end is only an estimate; a task that is let in before the gang's
# room is there has to end this much earlier.
BACKFILL_MARGIN_MS = 200.0
# A gang that has not started this long after its room should have been there lacks
# something else, such as tickets: a call for them takes about 1 s. Its workers are
# given back, and kept for it again only after the pause.
OVERDUE_MS = 1_500.0
PAUSE_MS = 3_000.0


class GangReservation:
    """Keep workers from other steps until the oldest waiting gang fits on them.

    Tasks that are expected to end before the gang could start anyway are let in.
    Without it, single tasks take every piece of room as it comes and a wide gang
    may wait without end while most of the room is free.
    """

    def __init__(self, *, context, images):
        self._context = context
        self._images = images
        self._step = None
        self._worker_ids = frozenset()
        self._free_at_ms = 0.0
        self._promised_ms = 0.0
        self._paused_until_ms = {}
        self._review_due_ms = 0.0

    def review(self, steps, workers_of, now_ms):
        """Choose the gang and its workers; `workers_of` tells a step's candidates."""
        self._give_up_overdue(now_ms)
        if self._is_over(now_ms):
            self._choose(self._oldest(steps, now_ms), workers_of, now_ms)

    def _give_up_overdue(self, now_ms):
        """Give the workers back where room was not what the gang lacked."""
        if self._step is None or now_ms < self._promised_ms + OVERDUE_MS:
            return
        self._context.count("reservations", "given_up")
        self._context.note("gang_reservation_ends", step=self._step.name)
        self._paused_until_ms = {
            name: until_ms
            for name, until_ms in self._paused_until_ms.items()
            if until_ms > now_ms
        }
        self._paused_until_ms[self._step.name] = now_ms + PAUSE_MS
        self._step = None
        self._review_due_ms = now_ms

    def permits(self, step, worker, now_ms):
        """Tell whether a step may use a worker."""
        if self._step is None or step is self._step:
            return True
        if worker.worker_id not in self._worker_ids:
            return True
        if step.spec.long_running:
            return False
        ends_ms = now_ms + self._images.expected_ms(step.spec) + BACKFILL_MARGIN_MS
        return ends_ms < self._free_at_ms

    def _is_over(self, now_ms):
        step = self._step
        if step is not None and (not step.job.is_live or not _all_wait(step)):
            self._step = None
            return True
        return now_ms >= self._review_due_ms

    def _oldest(self, steps, now_ms):
        waiting = [
            step
            for step in steps
            if step.spec.gang
            and step.ready
            and now_ms - step.ready_ms > PATIENCE_MS
            and now_ms >= self._paused_until_ms.get(step.name, 0.0)
            and _all_wait(step)
        ]
        return min(waiting, key=lambda step: step.ready_ms, default=None)

    def _choose(self, step, workers_of, now_ms):
        self._review_due_ms = now_ms + REVIEW_MS
        was, self._step = self._step, None
        if step is None:
            return
        free_at = []
        for worker in workers_of(step):
            if step.allowed is not None and worker.worker_id not in step.allowed:
                continue
            if worker.health.on_probation:
                continue  # it gets single tasks until one succeeds, but no gang
            for at_ms in self._room_times(worker, step.spec, now_ms):
                free_at.append((at_ms, worker.worker_id))
        if len(free_at) < step.spec.count:
            return
        free_at.sort()
        chosen = free_at[: step.spec.count]
        self._step = step
        self._worker_ids = frozenset(worker_id for _, worker_id in chosen)
        self._free_at_ms = chosen[-1][0]
        if was is not step:
            self._promised_ms = self._free_at_ms
            self._note(now_ms)

    def _note(self, now_ms):
        self._context.count("reservations", "gang")
        self._context.note(
            "gang_reserves",
            step=self._step.name,
            tasks=self._step.spec.count,
            workers=len(self._worker_ids),
            waited_ms=round(now_ms - self._step.ready_ms),
            expected_in_ms=round(self._free_at_ms - now_ms),
        )

    def _room_times(self, worker, spec, now_ms):
        """Return when there is room for the first task of a step, the second, …"""
        room = _Room.of(worker)
        times = room.take_all(spec, now_ms)
        for left_ms, run in self._ends(worker, now_ms):
            if _is_enough(times, spec):
                break
            room.release(run.step)
            times += room.take_all(spec, now_ms + left_ms)
        if spec.most_per_worker:
            times = times[: spec.most_per_worker]
        return times[: spec.count]

    def _ends(self, worker, now_ms):
        """Return a worker's runs with what is left of each, the soonest first."""
        stop_ms = self._context.bounds.stop_timeout_ms
        rows = []
        for run in worker.runs.values():
            if run.state is RunState.STOPPING:
                rows.append((stop_ms, run))
            elif not run.step.long_running:
                rows.append((self._images.left_ms(run, now_ms), run))
        return sorted(rows, key=lambda row: row[0])


class _Room:
    """Follow what is free on a worker while its runs end."""

    def __init__(self, *, cpu_milli, memory_mb, accelerators):
        self.cpu_milli = cpu_milli
        self.memory_mb = memory_mb
        self.accelerators = accelerators

    @classmethod
    def of(cls, worker):
        return cls(
            cpu_milli=worker.free_cpu_milli,
            memory_mb=worker.free_memory_mb,
            accelerators=worker.free_accelerators,
        )

    def release(self, spec):
        self.cpu_milli += spec.reserved_cpu_milli
        self.memory_mb += spec.memory_mb
        self.accelerators += spec.accelerators

    def take_all(self, spec, at_ms):
        """Take room for as many tasks as fit; return the moment once for each."""
        times = []
        while len(times) < spec.count and self._fits(spec):
            self.cpu_milli -= spec.reserved_cpu_milli
            self.memory_mb -= spec.memory_mb
            self.accelerators -= spec.accelerators
            times.append(at_ms)
        return times

    def _fits(self, spec):
        return (
            spec.reserved_cpu_milli <= self.cpu_milli
            and spec.memory_mb <= self.memory_mb
            and spec.accelerators <= self.accelerators
        )


def _all_wait(step):
    return len(step.waiting) == len(step.tasks)


def _is_enough(times, spec):
    return len(times) >= (spec.most_per_worker or spec.count)
