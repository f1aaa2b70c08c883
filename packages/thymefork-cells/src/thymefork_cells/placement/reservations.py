"""Reserve workers for gangs and for tasks that need much of a worker."""

from attrs import define

__all__ = ["Reservations"]

# A gang waits this long before workers are reserved for it: most fit as short tasks
# (0.8 s each) end.
GANG_RESERVATION_DELAY_MS = 2_000.0
# A large task waits this long. Small tasks take each piece of freed capacity, so it
# rarely fits without a reservation.
LARGE_RESERVATION_DELAY_MS = 100.0
# A task is large if it takes this share of a worker's cpu, memory or accelerators. Two
# of them fill a worker; smaller ones find room as others end.
LARGE_SHARE = 0.4
# Interval of reviews; each is a pass over all workers.
REVIEW_MS = 100.0
# A backfilled task must be expected to end this long before the reservation starts,
# since expected ends are estimates.
BACKFILL_MARGIN_MS = 200.0
# A reservation whose step has not started this long after the expected time is
# released: the step lacks something else, such as tickets, a call for which takes about
# 1 s. The step gets no new one during the pause.
OVERDUE_MS = 1_500.0
PAUSE_MS = 3_000.0
# A lasting task leaves reserved workers to others for this long. It can't be
# backfilled, as it never ends, and one reservation may follow the other.
LASTING_WAIT_MS = 2_000.0


@define(kw_only=True, eq=False)
class _Reservation:
    """Hold the workers that are reserved for a step.

    `free_at_ms` maps worker ids to the time at which a task is expected to fit,
    `waiting` is the number of waiting tasks, and `expected_start_ms` the time at which
    the next one should start.
    """

    step: object
    free_at_ms: dict
    waiting: int
    expected_start_ms: float


class Reservations:
    """Reserve workers for waiting steps against less urgent ones.

    Tasks that are expected to end before the reserved capacity is needed are
    backfilled. Without reservations, small tasks take every piece of freed capacity,
    and a gang or a large task may wait indefinitely.
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
        """Update the reservations; `steps` are sorted, the most urgent first."""
        self._rank = {step: rank for rank, step in enumerate(steps)}
        self._release_overdue(now_ms)
        if now_ms < self._review_due_ms and not self._has_settled_step():
            return
        self._review_due_ms = now_ms + REVIEW_MS
        previous, self._by_step, self._by_worker = self._by_step, {}, {}
        for step in steps:
            if self._waits_for_room(step, now_ms):
                self._reserve(step, workers_of(step), previous.get(step), now_ms)

    def permits(self, step, worker, now_ms):
        """Return whether a step may use a worker."""
        reservation = self._by_worker.get(worker.worker_id)
        if reservation is None or reservation.step is step:
            return True
        if self._rank.get(step, 0) < self._rank.get(reservation.step, 0):
            return True
        if step.spec.long_running:
            return step.longest_wait_ms(now_ms) > LASTING_WAIT_MS
        expected_ms = self._durations.expected_ms(step.spec, worker)
        ends_ms = now_ms + expected_ms + BACKFILL_MARGIN_MS
        return ends_ms < reservation.free_at_ms[worker.worker_id]

    def review_soon(self):
        """Review the reservations with the next plan, since runs are being stopped."""
        self._review_due_ms = 0.0

    def _has_settled_step(self):
        """Return whether a step with a reservation has started or ended."""
        return any(not step.job.is_live or not step.waiting for step in self._by_step)

    def _release_overdue(self, now_ms):
        """Release reservations of steps that did not start in time."""
        for step, reservation in list(self._by_step.items()):
            if now_ms < reservation.expected_start_ms + OVERDUE_MS:
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

    # Choosing workers --------------------------------------------------------------

    def _waits_for_room(self, step, now_ms):
        if not step.ready or not step.waiting:
            return False
        if now_ms < self._paused_until_ms.get(step.name, 0.0):
            return False
        waited_ms = now_ms - step.ready_ms
        if step.spec.gang:
            return waited_ms > GANG_RESERVATION_DELAY_MS and _are_all_waiting(step)
        if step.spec.long_running or waited_ms <= LARGE_RESERVATION_DELAY_MS:
            return False
        # Reserving for a job that is late anyway only delays other jobs.
        return self._durations.ends_in_time(step, now_ms)

    def _reserve(self, step, workers, previous, now_ms):
        """Reserve the workers on which the step's tasks would fit soonest."""
        times = self._earliest_workers(step, workers, now_ms)
        if not times:
            return
        next_ms = min(times.values())
        is_unchanged = previous is not None and previous.waiting == len(step.waiting)
        reservation = _Reservation(
            step=step,
            free_at_ms=times,
            waiting=len(step.waiting),
            expected_start_ms=previous.expected_start_ms if is_unchanged else next_ms,
        )
        self._by_step[step] = reservation
        self._by_worker |= dict.fromkeys(times, reservation)
        if previous is None:
            self._log(reservation, next_ms, now_ms)

    def _earliest_workers(self, step, workers, now_ms):
        """Return the workers on which tasks would end first, with when they fit.

        For a gang, the time at which all of its tasks fit.
        """
        free_at = []
        usual_ms = self._durations.expected_ms(step.spec)
        for worker in workers:
            if self._is_reservable(step, worker):
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

    def _is_reservable(self, step, worker):
        if worker.worker_id in self._by_worker:
            return False
        if step.allowed is not None and worker.worker_id not in step.allowed:
            return False
        if worker.health.on_probation:
            return False  # it only gets single tasks
        return step.spec.gang or _is_large(step.spec, worker.entry)

    def _log(self, reservation, next_ms, now_ms):
        step = reservation.step
        self._context.count("reservations", "gang" if step.spec.gang else "large_task")
        self._context.note(
            "room_reserved",
            step=step.name,
            tasks=step.spec.count,
            workers=len(reservation.free_at_ms),
            waited_ms=round(now_ms - step.ready_ms),
            expected_in_ms=round(next_ms - now_ms),
        )


def _are_all_waiting(step):
    return len(step.waiting) == len(step.tasks)


def _is_large(spec, entry):
    """Return whether a task takes a large share of any resource of a worker."""
    return (
        spec.reserved_cpu_milli >= LARGE_SHARE * max(1, entry.cpu_milli)
        or spec.memory_mb >= LARGE_SHARE * max(1, entry.memory_mb)
        or spec.accelerators >= LARGE_SHARE * max(1, entry.accelerators)
    )
