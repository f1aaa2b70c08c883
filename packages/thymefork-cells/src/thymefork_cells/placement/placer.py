"""Start waiting tasks on suitable workers."""

from functools import partial

from ..accounts import DominantShares
from ..effects import StartRun
from ..state import JobState, Run, RunState
from .exclusions import Exclusions, worker_exclusion
from .exploration_scorer import ExplorationScorer, LatenessRisk
from .gang_workers import workers_for_gang
from .last_resort import may_use_isolated
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

# How often the list of workers that accept tasks is rebuilt. A worker that recovers
# waits at most this long.
WORKER_LIST_REFRESH_MS = 20.0


class Placer:
    """Assign waiting tasks to workers, most urgent queue first."""

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
        losses,
        worker_locations,
    ):
        self._context = context
        self._durations = durations
        self._speeds = speeds
        self._quotas = quotas
        self._crash_isolation = crash_isolation
        self._preemptor = preemptor
        self._reservations = reservations
        dominant_shares = DominantShares(context=context)
        self._order = StepOrder(
            context=context, durations=durations, dominant_shares=dominant_shares
        )
        self._log = PlacementLog(
            context=context,
            advice=advice,
            quotas=quotas,
            dominant_shares=dominant_shares,
            exclusions=Exclusions(
                context=context, advice=advice, reservations=reservations
            ),
            losses=losses,
        )
        self._worker_locations = worker_locations
        self._advice = advice
        self._lateness_risk = LatenessRisk()
        self._by_service = {}
        self._worker_list_due_ms = 0.0

    def plan(self, now_ms):
        """Create runs for all tasks that can start now."""
        self._context.needs_plan = False
        if self._context.is_worker_list_stale(now_ms):
            return
        if now_ms >= self._worker_list_due_ms:
            self._worker_list_due_ms = now_ms + WORKER_LIST_REFRESH_MS
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
                self._log.log_wait(step, workers, now_ms)
            self._advice.queue_request(
                step,
                workers,
                now_ms,
                may_start=may_start[step],
                is_starved=self._order.is_starved(step, now_ms),
            )
        self._advice.queue_early_requests(workers_of, now_ms)
        self._advice.send_requests(now_ms, permits=self._reservations.permits)

    def _workers_by_service(self, now_ms):
        services = {}
        for worker in self._context.workers.values():
            if worker_exclusion(worker, now_ms) is None:
                by_id = services.setdefault(worker.entry.service, {})
                by_id[worker.worker_id] = worker
        return services

    # Placing one step ---------------------------------------------------------

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
        permitted = self._permitted_workers(step, workers, now_ms)
        regular, crash_suspects = [], []
        for task in waiting:
            is_crash_suspect = self._is_crash_suspect(task, now_ms)
            (crash_suspects if is_crash_suspect else regular).append(task)
        usable = self._with_isolated(step, workers, permitted, now_ms)
        starts = self._place_regular(step, regular, workers, usable, now_ms)
        unplaced = len(regular) - len(starts) - _bound_count(regular, starts)
        if crash_suspects:
            starts += self._place_crash_suspects(
                step, crash_suspects, permitted, now_ms
            )
        self._log.log_starts(step, starts, len(waiting), now_ms)
        if unplaced and self._preemptor.make_room(step, permitted, unplaced, now_ms):
            self._reservations.review_soon()  # reserve the freed capacity

    def _is_crash_suspect(self, task, now_ms):
        if not task.losses and not task.runs:
            return False  # fast path for most tasks
        return self._crash_isolation.is_crash_suspect(task, now_ms)

    def _place_regular(self, step, tasks, workers, permitted, now_ms):
        """Start tasks that are no crash suspects; return (task, worker) pairs."""
        spec = step.spec
        usable = [worker for worker in permitted if worker.has_capacity(spec)]
        if not usable:
            return []
        scorer = self._speed_scorer(step, now_ms)
        suitable = usable if scorer is None else scorer.suitable(usable)
        ranking = WorkerRanking(
            spec=spec,
            workers=usable,
            hall=best_hall(spec, suitable, len(tasks)),
            runs_per_worker=step.runs_per_worker() if spec.most_per_worker else None,
            rate=partial(fit_score, spec, speed_scorer=scorer),
            now_ms=now_ms,
            alternatives=permitted,
            has_unasked_workers=self._advice.has_unasked_workers(step, workers),
        )
        starts = self._start(tasks, ranking)
        if scorer is not None:
            self._log.count_speeds(scorer, starts, usable)
        return starts

    def _speed_scorer(self, step, now_ms):
        """Return the scorer for worker speed, or None if speed does not matter."""
        lateness = self._durations.lateness_probability(step, now_ms)
        if lateness is None:
            return None
        if self._speeds.is_heterogeneous:
            is_most_urgent = self._context.is_most_urgent(step.job)
            return SpeedScorer(lateness=lateness, is_most_urgent=is_most_urgent)
        queue_name = step.job.queue_name
        self._lateness_risk.update(queue_name, lateness.for_slowness(1.0))
        should_explore = self._lateness_risk.is_high(queue_name)
        return ExplorationScorer(speeds=self._speeds) if should_explore else None

    def _place_crash_suspects(self, step, tasks, permitted, now_ms):
        """Start crash suspects with care; return (task, worker) pairs."""
        ready = [
            task for task in tasks if self._crash_isolation.can_start(task, now_ms)
        ]
        if not ready:
            return []
        ranking = WorkerRanking(
            spec=step.spec,
            workers=self._crash_isolation.workers_for(step, ready, permitted, now_ms),
            hall="",
            runs_per_worker=step.runs_per_worker()
            if step.spec.most_per_worker
            else None,
            rate=partial(self._crash_isolation.rate, step),
            now_ms=now_ms,
            alternatives=permitted,
        )
        starts = self._start(ready, ranking)
        for task, worker in starts:
            self._crash_isolation.isolate(task, worker, now_ms)
        return starts

    def _start(self, tasks, ranking):
        """Create runs on the best workers; return (task, worker) pairs."""
        starts = []
        for task in tasks:
            worker = ranking.best_for(task)
            if worker is None and not (task.avoided_workers or task.delayed_starts):
                break
            if worker is None:
                continue
            self._add_run(task, worker, task.run_count + 1)
            ranking.on_assigned()
            starts.append((task, worker))
        return starts

    def _permitted_workers(self, step, workers, now_ms, *, even_isolated=False):
        """Return the workers that a step has tickets for and that are not reserved."""
        return [
            worker
            for worker in self._advice.with_ticket(step, workers, now_ms)
            if worker_exclusion(worker, now_ms) is None
            and (even_isolated or worker.admits(step.job, now_ms))
            and self._reservations.permits(step, worker, now_ms)
        ]

    def _with_isolated(self, step, workers, permitted, now_ms):
        """Return the permitted workers, and isolated ones if these are the last left.

        For tasks that are no crash suspects.
        """
        if not may_use_isolated(step, permitted, now_ms):
            return permitted
        return self._permitted_workers(step, workers, now_ms, even_isolated=True)

    def _place_gang(self, step, workers, now_ms):
        run_id = max(task.run_count for task in step.tasks) + 1
        permitted = self._permitted_workers(step, workers, now_ms)
        crash_suspects = [
            task for task in step.tasks if self._is_crash_suspect(task, now_ms)
        ]
        if crash_suspects:
            permitted = self._crash_isolation.workers_for_gang(
                step, crash_suspects, permitted, now_ms
            )
        else:
            permitted = self._with_isolated(step, workers, permitted, now_ms)
        scorer = self._speed_scorer(step, now_ms)
        if scorer is not None and not crash_suspects:
            # A gang is as slow as its slowest member: choose members of similar speed.
            permitted = sorted(permitted, key=scorer.rate)
        chosen = workers_for_gang(step, permitted, now_ms)
        if chosen is None:
            return
        starts = list(zip(step.tasks, chosen, strict=True))
        gang_slowness = max(worker.slowness for worker in chosen)
        for task, worker in starts:
            self._add_run(task, worker, run_id, gang_slowness=gang_slowness)
            for crash_suspect in crash_suspects:
                self._crash_isolation.isolate(crash_suspect, worker, now_ms)
        self._log.log_starts(step, starts, len(starts), now_ms)

    def _add_run(self, task, worker, run_id, *, gang_slowness=0.0):
        run = Run(
            task=task,
            run_id=run_id,
            worker=worker,
            state=RunState.INTENDED,
            gang_slowness=gang_slowness,
            created_epoch_ms=round(self._context.epoch_ms()),
        )
        job = task.step.job
        self._worker_locations.add(worker)
        task.run_count = run_id
        task.runs.append(run)
        task.step.invalidate_waiting()
        worker.add(run)
        worker.health.started(run)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self._context.journal.mark_changed(job)
        self._context.journal.mark_task_changed(task)
        self._context.journal.after(StartRun(run=run))


def _bound_count(tasks, starts):
    """Return how many tasks without a start could have used a single worker only."""
    bound = {task for task in tasks if task.delayed_starts and task.required_worker_id}
    return len(bound - {task for task, _ in starts}) if bound else 0
