"""Check that lasting tasks don't stand still beside workers with room."""

from attrs import define, field

__all__ = ["StandstillChecker"]

# Promised bound from the end of a lasting task's run to its next one.
MAX_IDLE_MS = 6_000.0
# How long all must have been connected before an idle time counts.
RECONNECT_TIMEOUT_MS = 3_000.0
# A crash of a worker within this time is a disturbance, too.
CALM_MS = 7_000.0
# Room is needed on this many workers that the step's policy allows.
MIN_WORKERS_WITH_ROOM = 2


@define(kw_only=True)
class StandstillChecker:
    """Watch the lasting tasks of accepted jobs, from the workers' side.

    `is_allowed(step, worker_id)` returns whether the policy allows a worker.
    """

    checker: object
    workers: list
    is_allowed: object
    _watched: dict = field(factory=dict)  # idle_since_ms by task
    _reported: set = field(factory=set)

    def watch(self, job_id, now_ms):
        """Watch the tasks of an accepted job."""
        for number, step in enumerate(self.checker.jobs[job_id]["steps"]):
            for index in range(step["count"]):
                self._watched[f"{job_id}.0.{number}.{index}"] = now_ms

    def leave(self, job_id):
        """Stop watching a job that is about to be cancelled."""
        self._watched = {
            task: since_ms
            for task, since_ms in self._watched.items()
            if not task.startswith(job_id)
        }

    def check(self, now_ms):
        """Report the tasks that have had no run for too long."""
        for task in self._watched:
            if self.checker.running.get(task) or not self._has_room(task, now_ms):
                self._watched[task] = now_ms
        if self.checker.faults or now_ms < self.checker.crashed_ms + CALM_MS:
            return
        calm_since_ms = self.checker.stable_since_ms + RECONNECT_TIMEOUT_MS
        for task, idle_since_ms in self._watched.items():
            idle_ms = now_ms - max(idle_since_ms, calm_since_ms)
            if idle_ms > MAX_IDLE_MS and task not in self._reported:
                self._reported.add(task)
                self.checker.violations.append(
                    f"LOST: lasting {task} has had no run for {idle_ms:.0f} ms"
                )

    def _has_room(self, task, now_ms):
        job_id, occurrence, number, _ = task.split(".")
        step = self.checker.jobs[job_id]["steps"][int(number)]
        busy = self._workers_of_step(f"{job_id}.{occurrence}.{number}.")
        limit = step.get("anti_affinity", 0)
        with_room = [
            worker
            for worker in self.workers
            if not worker.down_since_ms
            and not worker.draining
            and self.is_allowed(f"{job_id}.{occurrence}.{number}", worker.worker_id)
            and not limit > 0 <= busy.count(worker.worker_id) - limit
            and worker.cpu_milli - worker.used_cpu() >= step["cpu"]
        ]
        return len(with_room) >= MIN_WORKERS_WITH_ROOM

    def _workers_of_step(self, prefix):
        return [
            worker_id
            for task, worker_ids in self.checker.running.items()
            if task.startswith(prefix)
            for worker_id in worker_ids
        ]
