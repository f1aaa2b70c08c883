"""The time by which a job should be done."""

__all__ = ["set_objective"]


def set_objective(job, queue):
    """Set a job's latency objective by its queue's policy, unless that is unknown."""
    if queue is not None:
        duration_ms = queue.stretch * _critical_path_ms(job.spec)
        job.objective_ms = job.accepted_ms + duration_ms + queue.target_latency_ms


def _critical_path_ms(spec):
    """Return the estimated duration of the longest path of dependent steps."""
    longest = []
    for step in spec.steps:
        preceding_ms = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(preceding_ms + step.estimated_ms)
    return max(longest, default=0.0)
