"""Checks of the scheduler's guarantees against the runs on all workers."""

from collections import Counter

from attrs import define, field

__all__ = ["InvariantChecker"]

# After `MIN_CRASHES` worker crashes a task must be started fewer times than this.
MIN_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3
# Guaranteed times: to cancel a job, to stop a run, and for machines and the store to
# reconnect after the last fault.
CANCEL_TIMEOUT_MS = 3_000.0
STOP_TIMEOUT_MS = 200.0
RECONNECT_TIMEOUT_MS = 3_000.0
# How long an older configuration may apply, and the allowed excess over a limit.
CONFIG_TIMEOUT_MS = 3_000.0
QUOTA_TOLERANCE = 0.1


@define(kw_only=True)
class InvariantChecker:
    """Check each event of a worker against the runs on all workers."""

    running: dict = field(factory=dict)
    done: dict = field(factory=dict)
    jobs: dict = field(factory=dict)
    starts: int = 0
    started_jobs: set = field(factory=set)
    violations: list = field(factory=list)
    cancelled_ms: dict = field(factory=dict)
    faults: int = 0
    stable_since_ms: float = 0.0
    crashes_after_ms: dict = field(factory=dict)
    failing_jobs: set = field(factory=set)
    crashes: Counter = field(factory=Counter)
    crashed_ms: float = float("-inf")
    starts_after_crashes: Counter = field(factory=Counter)
    accounts: dict = field(factory=dict)
    limits: list = field(factory=list)

    def on_start(self, worker, task, run_id, payload, now_ms):
        """Check a start that the worker has carried out."""
        self.starts += 1
        job_id, _, step, _ = task.split(".")
        self.started_jobs.add(job_id)
        where = f"{task} run {run_id} on {worker.worker_id}"
        if self.running.get(task):
            self._report_violation(
                f"TWICE: {where} beside {sorted(self.running[task])}"
            )
        if task in self.done and self.done[task] is not None:
            self._report_violation(f"TWICE: {where} after its recorded end")
        self._check_start_of_cancelled(job_id, where, now_ms)
        self._check_start_after_crashes(task, where)
        job = self.jobs.get(job_id)
        if job is None or payload != job["spec"]:
            self._report_violation(f"UNASKED: {where}")
            return
        for earlier in job["steps"][int(step)].get("after", ()):
            count = job["steps"][earlier]["count"]
            names = [f"{job_id}.0.{earlier}.{index}" for index in range(count)]
            if not all(name in self.done for name in names):
                self._report_violation(f"ORDER: {where}")
        if worker.used_cpu() > worker.effective_cpu(now_ms):
            self._report_violation(f"LIMIT: {where}")
        self.running.setdefault(task, set()).add(worker.worker_id)
        self._check_account_limit(job_id, step, where, now_ms)

    def on_limits(self, limits_cpu_milli, now_ms):
        """Record the account limits of an acknowledged configuration."""
        self.limits.append((now_ms, limits_cpu_milli))

    def _check_account_limit(self, job_id, step, where, now_ms):
        account = self.accounts.get(job_id)
        limits = [limit.get(account, 0) for limit in self._possible_limits(now_ms)]
        if not account or not limits or not all(limits):
            return
        used = sum(
            len(workers) * self._requested_cpu(task)
            for task, workers in self.running.items()
            if self.accounts.get(task.split(".")[0]) == account
        )
        requested_cpu_milli = self.jobs[job_id]["steps"][int(step)]["cpu"]
        if used > max(limits) * (1 + QUOTA_TOLERANCE) + requested_cpu_milli:
            self._report_violation(
                f"QUOTA: {where}: {account} has {used} of {max(limits)}"
            )

    def _requested_cpu(self, task):
        job_id, _, step, _ = task.split(".")
        return self.jobs[job_id]["steps"][int(step)]["cpu"]

    def _possible_limits(self, now_ms):
        """Return the limits that may apply, by configuration version, newest last.

        An older version may apply until all connected machines must have the next one.
        """
        possible = []
        for (_, limits), (next_ms, _) in zip(
            self.limits, self.limits[1:], strict=False
        ):
            due_ms = (
                max(next_ms, self.stable_since_ms + RECONNECT_TIMEOUT_MS)
                + CONFIG_TIMEOUT_MS
            )
            if self.faults or now_ms <= due_ms:
                possible.append(limits)
        return [*possible, *(limits for _, limits in self.limits[-1:])]

    def on_end(self, worker, task, outcome):
        """Record the end of a run."""
        self.running.get(task, set()).discard(worker.worker_id)
        if outcome == "done":
            self.done.setdefault(task, None)

    def on_crash(self, tasks, now_ms):
        """Record a worker crash while it ran tasks."""
        self.crashes.update(tasks)
        self.crashed_ms = now_ms

    def _check_start_after_crashes(self, task, where):
        # Applies to tasks that crash their workers, even to disconnected owners.
        if task not in self.crashes_after_ms:
            return
        if self.crashes[task] < MIN_CRASHES:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] == MAX_STARTS_AFTER_CRASHES:
            self._report_violation(
                f"BUDGET: {where} after {self.crashes[task]} crashes"
            )

    def on_end_recorded(self, task, outcome, now_ms):
        """Record that an owner has acknowledged the end of a run."""
        if outcome == "done":
            self.done[task] = now_ms

    def on_cancelled(self, job_id, acknowledged_ms):
        """Record the first acknowledgement of a job's cancellation."""
        self.cancelled_ms.setdefault(job_id, acknowledged_ms)

    def on_fault(self, change, now_ms):
        """Record the start (1) or end (-1) of a fault."""
        self.faults += change
        self.stable_since_ms = now_ms

    def check_cancelled(self, now_ms):
        """Check that no cancelled task runs after the time to cancel and stop.

        That time starts at the acknowledgement, but no earlier than
        `RECONNECT_TIMEOUT_MS` after the last fault.
        """
        if self.faults:
            return
        connected_since_ms = self.stable_since_ms + RECONNECT_TIMEOUT_MS
        for task, worker_ids in self.running.items():
            acknowledged_ms = self.cancelled_ms.get(task.split(".")[0])
            if acknowledged_ms is None or not worker_ids:
                continue
            since_ms = max(acknowledged_ms, connected_since_ms)
            if now_ms > since_ms + CANCEL_TIMEOUT_MS + STOP_TIMEOUT_MS:
                text = f"UNASKED: {task} still runs on {sorted(worker_ids)}, cancelled"
                if not any(line.startswith(text) for line in self.violations):
                    ago_ms = now_ms - acknowledged_ms
                    self._report_violation(f"{text} {ago_ms:.0f} ms ago")

    def _check_start_of_cancelled(self, job_id, where, now_ms):
        # Applies only while all machines are connected, as the sender is not known; a
        # command delayed by a fault arrives within the reconnect timeout.
        acknowledged_ms = self.cancelled_ms.get(job_id)
        if acknowledged_ms is None or self.faults:
            return
        due_ms = max(
            acknowledged_ms + CANCEL_TIMEOUT_MS,
            self.stable_since_ms + RECONNECT_TIMEOUT_MS,
        )
        if now_ms > due_ms:
            ago_ms = now_ms - acknowledged_ms
            self._report_violation(
                f"UNASKED: {where} started, cancelled {ago_ms:.0f} ms ago"
            )

    def _report_violation(self, text):
        self.violations.append(text)
