"""Which waiting tasks start now, and on which workers."""

from functools import partial

from ..accounts import DominantShares
from ..effects import StartRun
from ..state import JobState, Run, RunState
from .exploration_scorer import ExplorationScorer, LatenessRisk
from .gang_workers import workers_for_gang
from .placement_log import PlacementLog
from .speed_scorer import SpeedScorer
from .step_order import StepOrder
from .worker_ranking import (
    WorkerRanking,
    best_hall,
    fit_score,
    has_required_label,
)

__all__ = ["Placer"]

# The list of workers that may be given tasks is made anew this often; each is checked
# once more when it is chosen, so one that comes back waits this long at most.
LIST_MS = 20.0


class Placer:
    """Give waiting tasks to workers with room, most urgent queue first."""

    def __init__(
        self,
        *,
        context,
        advice,
        durations,
        preemptor,
        reservations,
        crash_isolation,
        quotas,
        speeds,
    ):
        self._context = context
        self._durations = durations
        self._speeds = speeds
        self._quotas = quotas
        self._trials = crash_isolation
        self._preemptor = preemptor
        self._reservations = reservations
        dominant_shares = DominantShares(context=context)
        self._order = StepOrder(
            context=context, durations=durations, dominant_shares=dominant_shares
        )
        self._notes = PlacementLog(
            context=context,
            advice=advice,
            quotas=quotas,
            dominant_shares=dominant_shares,
        )
        self._advice = advice
        self._risk = LatenessRisk()
        self._by_service = {}
        self._list_due_ms = 0.0

    def plan(self, now_ms):
        """Intend all starts that are possible now."""
        self._context.needs_plan = False
        if self._context.is_worker_list_stale(now_ms):
            return
        if now_ms >= self._list_due_ms:
            self._list_due_ms = now_ms + LIST_MS
            self._by_service = self._workers_by_service(now_ms)
        by_service = self._by_service
        steps = self._quotas.plannable_steps(self._order.steps(now_ms), now_ms)

        def workers_of(step):
            workers = by_service.get(self._context.service_of(step.job), {})
            if not step.spec.required_label:
                return workers
            return {
                worker_id: worker
                for worker_id, worker in workers.items()
                if has_required_label(step, worker)
            }

        may_start = {step: self._quotas.tasks_allowed(step, now_ms) for step in steps}
        self._reservations.review(
            [step for step in steps if may_start[step]],
            lambda step: workers_of(step).values(),
            now_ms,
        )
        for step in steps:
            workers = workers_of(step)
            if step.ready:
                self._place(step, workers, now_ms)
                self._notes.log_wait(step, workers, now_ms)
            self._advice.queue_request(
                step,
                workers,
                now_ms,
                may_start=may_start[step],
                is_starved=self._order.is_starved(step, now_ms),
            )
        self._advice.send_requests(now_ms, permits=self._reservations.permits)

    def _workers_by_service(self, now_ms):
        services = {}
        for worker in self._context.workers.values():
            if _takes_tasks(worker, now_ms):
                by_id = services.setdefault(worker.entry.service, {})
                by_id[worker.worker_id] = worker
        return services

    # Placing a step ----------------------------------------------------------

    def _place(self, step, workers, now_ms):
        waiting = self._order.startable(step, now_ms)
        allowed = self._quotas.tasks_allowed(step, now_ms)
        if step.spec.gang:
            if len(waiting) == len(step.tasks) <= allowed:
                self._place_gang(step, workers, now_ms)
            return
        waiting = waiting[:allowed]
        if not waiting:
            return
        permitted = self._permitted(step, workers, now_ms)
        sound, suspected = [], []
        for task in waiting:
            is_crash_suspect = self._is_suspected(task, now_ms)
            (suspected if is_crash_suspect else sound).append(task)
        starts = self._place_sound(step, sound, workers, permitted, now_ms)
        missing = len(sound) - len(starts)
        if suspected:
            starts += self._place_suspected(step, suspected, permitted, now_ms)
        self._notes.log_starts(step, starts, len(waiting), now_ms)
        if missing and self._preemptor.make_room(step, permitted, missing, now_ms):
            self._reservations.review_soon()  # what is freed is kept for the step

    def _is_suspected(self, task, now_ms):
        if not task.losses and not task.runs:
            return False  # nearly all tasks, each time
        return self._trials.is_crash_suspect(task, now_ms)

    def _place_sound(self, step, tasks, workers, permitted, now_ms):
        """Start tasks under which no worker was lost; return each with its worker."""
        spec = step.spec
        usable = [worker for worker in permitted if worker.has_capacity(spec)]
        if not usable:
            return []
        fit = self._speed_fit(step, now_ms)
        suitable = usable if fit is None else fit.suitable(usable)
        ranking = WorkerRanking(
            spec=spec,
            workers=usable,
            hall=best_hall(spec, suitable, len(tasks)),
            runs_per_worker=step.runs_per_worker() if spec.most_per_worker else None,
            rate=partial(fit_score, spec, speed_scorer=fit),
            has_unasked_workers=self._advice.has_unasked_workers(step, workers),
        )
        starts = self._start(tasks, ranking)
        if fit is not None:
            self._notes.count_speeds(fit, starts, usable)
        return starts

    def _speed_fit(self, step, now_ms):
        """Return what rates workers by speed; None where speed makes no difference."""
        lateness = self._durations.lateness_probability(step, now_ms)
        if lateness is None:
            return None
        if self._speeds.is_heterogeneous:
            is_most_urgent = self._context.is_most_urgent(step.job)
            return SpeedScorer(lateness=lateness, is_most_urgent=is_most_urgent)
        queue_name = step.job.queue_name
        self._risk.note(queue_name, lateness.for_slowness(1.0))
        is_wanted = self._risk.is_high(queue_name)
        return ExplorationScorer(speeds=self._speeds) if is_wanted else None

    def _place_suspected(self, step, tasks, permitted, now_ms):
        """Try tasks under which workers were lost; return each with its worker."""
        ready = [task for task in tasks if self._trials.can_start(task, now_ms)]
        if not ready:
            return []
        ranking = WorkerRanking(
            spec=step.spec,
            workers=self._trials.workers_for(step, ready, permitted, now_ms),
            hall="",
            runs_per_worker=step.runs_per_worker()
            if step.spec.most_per_worker
            else None,
            rate=partial(self._trials.rate, step),
        )
        starts = self._start(ready, ranking)
        for task, worker in starts:
            self._trials.isolate(task, worker, now_ms)
        return starts

    def _start(self, tasks, ranking):
        """Intend the tasks on the best workers; return those that found one with it."""
        starts = []
        for task in tasks:
            worker = ranking.best_for(task)
            if worker is None and not task.avoided_workers:
                break
            if worker is None:
                continue
            self._intend(task, worker, task.run_count + 1)
            ranking.on_assigned()
            starts.append((task, worker))
        return starts

    def _permitted(self, step, workers, now_ms):
        """Return the workers that a step has a ticket for and that are not kept."""
        return [
            worker
            for worker in self._advice.with_ticket(step, workers, now_ms)
            if _takes_tasks(worker, now_ms)
            and worker.admits(step.job, now_ms)
            and self._reservations.permits(step, worker, now_ms)
        ]

    def _place_gang(self, step, workers, now_ms):
        run_id = max(task.run_count for task in step.tasks) + 1
        permitted = self._permitted(step, workers, now_ms)
        suspected = [task for task in step.tasks if self._is_suspected(task, now_ms)]
        if suspected:
            permitted = self._trials.workers_for_gang(
                step, suspected, permitted, now_ms
            )
        fit = self._speed_fit(step, now_ms)
        if fit is not None and not suspected:
            # One that ends with its slowest member takes members of about one speed.
            permitted = sorted(permitted, key=fit.rate)
        chosen = workers_for_gang(step, permitted)
        if chosen is None:
            return
        starts = list(zip(step.tasks, chosen, strict=True))
        gang_slowness = max(worker.slowness for worker in chosen)
        for task, worker in starts:
            self._intend(task, worker, run_id, gang_slowness=gang_slowness)
            for suspect in suspected:
                self._trials.isolate(suspect, worker, now_ms)
        self._notes.log_starts(step, starts, len(starts), now_ms)

    def _intend(self, task, worker, run_id, *, gang_slowness=0.0):
        run = Run(
            task=task,
            run_id=run_id,
            worker=worker,
            state=RunState.INTENDED,
            gang_slowness=gang_slowness,
        )
        job = task.step.job
        task.run_count = run_id
        task.runs.append(run)
        task.step.invalidate_waiting()
        worker.add(run)
        worker.health.started(run)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        self._context.journal.mark_changed(job)
        self._context.journal.after(StartRun(run=run))


def _takes_tasks(worker, now_ms):
    """Tell whether a worker may be given any task now."""
    if not worker.has_reported or not worker.is_listed or worker.entry.draining:
        return False
    if worker.entry.is_lapsed or worker.is_suspect or worker.entry.cpu_milli <= 0:
        return False
    return worker.slow_until_ms <= now_ms and worker.health.takes_work(now_ms)
