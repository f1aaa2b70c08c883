"""The time by which a job should be done."""

__all__ = ["measured_objective_ms", "set_objective"]

# Number of workers per advice call that a job's measured objective allows for.
WORKERS_PER_ADVICE_CALL = 30


def set_objective(job, queue):
    """Set a job's latency objective by its queue's policy, unless that is unknown."""
    if queue is not None:
        duration_ms = queue.stretch * _critical_path_ms(job.spec)
        job.objective_ms = job.accepted_ms + duration_ms + queue.target_latency_ms


def measured_objective_ms(job, queue):
    """Return how long a job may take by its measured work, 0 if unknown.

    Each step on the critical path counts one advice call.
    """
    if queue is None or not job.worked_ms:
        return 0.0
    critical_path_ms = job.worked_ms
    if queue.advice is not None:
        advice_call_ms = queue.advice.decision_ms
        advice_call_ms += WORKERS_PER_ADVICE_CALL * queue.advice.per_worker_ms
        critical_path_ms += job.critical_path_step_count * advice_call_ms
    return queue.stretch * critical_path_ms + queue.target_latency_ms


def _critical_path_ms(spec):
    """Return the estimated duration of the longest path of dependent steps."""
    longest = []
    for step in spec.steps:
        preceding_ms = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(preceding_ms + step.estimated_ms)
    return max(longest, default=0.0)
