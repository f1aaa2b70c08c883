"""Invariants of the runs of a task, checked on the workers' history."""

__all__ = ["longest_gap_ms", "tasks_run_twice"]


def tasks_run_twice(harness):
    """Return tasks that ran twice at once, or again after an acknowledged success."""
    return sorted(
        task
        for task, runs in _runs_by_task(harness).items()
        if any(
            _is_twice(harness, earlier, later)
            for position, earlier in enumerate(runs)
            for later in runs[position + 1 :]
        )
    )


def longest_gap_ms(harness, task, since_ms):
    """Return the longest time after `since_ms` in which a task did not run."""
    free_ms, longest_ms = since_ms, 0.0
    for run in _runs_by_task(harness).get(task, []):
        longest_ms = max(longest_ms, run.began_ms - free_ms)
        free_ms = max(free_ms, harness.now if run.ended_ms is None else run.ended_ms)
    return max(longest_ms, harness.now - free_ms)


def _runs_by_task(harness):
    runs = {}
    for worker in harness.workers.values():
        worker.advance(harness.now)
        for run in worker.history:
            runs.setdefault(run.task, []).append(run)
    return {
        task: sorted(rows, key=lambda run: run.began_ms) for task, rows in runs.items()
    }


def _is_twice(harness, earlier, later):
    ended_ms = harness.now if earlier.ended_ms is None else earlier.ended_ms
    if later.began_ms < ended_ms:
        return True
    if harness.step_of(earlier.task).long_running:
        return False  # restarted however it ends
    return earlier.how == "done" and earlier.is_acknowledged
