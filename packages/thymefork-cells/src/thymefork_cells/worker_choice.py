"""Which hall and worker suit a task best."""

__all__ = ["best_hall", "best_worker", "copies_in", "fits_labels"]

# What a step that fills idle processors adds to a worker's score where tasks with
# users of their own run, and the other way round: more than any difference in room.
DISTURBANCE_PENALTY = 4.0
# A worker whose last run failed is taken only if no other has room.
DOUBT_PENALTY = 2.0
# A step's tasks keep together in one hall where it has room for them: a hall is cut off
# as a whole, and a step is late if one of its tasks is. Counts more than any difference
# in room, less than doubt.
OTHER_HALL_PENALTY = 1.6
# Data on another rack makes a task take half as long again.
REMOTE_PENALTY = 1.0


def best_hall(spec, workers, wanted):
    """Return the hall that has room for the most of the wanted tasks.

    Of halls with room for all, tasks with accelerators take the fullest, which keeps
    whole workers whole elsewhere, and others the emptiest.
    """
    sign = -1 if spec.accelerators else 1
    copies = {}
    for worker in workers:
        hall = worker.entry.hall
        copies[hall] = copies.get(hall, 0) + copies_in(worker, spec)
    return max(
        copies,
        key=lambda hall: (min(copies[hall], wanted), sign * copies[hall]),
        default="",
    )


def best_worker(spec, task, workers, counts, hall):
    """Return the best of some workers with a ticket, or None if none has room."""
    best, best_score = None, None
    for worker in workers:
        if not worker.has_room(spec) or worker.health.awaits_probe:
            continue
        if worker.worker_id in task.avoided and len(workers) > len(task.avoided):
            continue
        if task.runs and any(run.worker is worker for run in task.runs):
            continue
        if counts and counts.get(worker.worker_id, 0) >= spec.most_per_worker:
            continue
        score = _score(spec, worker)
        if worker.entry.hall != hall:
            score += OTHER_HALL_PENALTY
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def fits_labels(step, worker):
    """Tell whether a worker has the label that a step requires."""
    label = step.spec.required_label
    return not label or label in worker.entry.labels


def copies_in(worker, spec):
    """Return how many tasks of a step a worker has room for."""
    wanted = (
        (spec.reserved_cpu_milli, worker.free_cpu_milli),
        (spec.memory_mb, worker.free_memory_mb),
        (spec.accelerators, worker.free_accelerators),
    )
    copies = min((free // want for want, free in wanted if want), default=spec.count)
    copies = max(0, copies)
    if spec.most_per_worker:
        copies = min(copies, spec.most_per_worker)
    return min(copies, spec.count)


def _score(spec, worker):
    """Rate a worker for a task; the lowest is best: the tightest fit that is sound."""
    entry = worker.entry
    left_cpu = (worker.free_cpu_milli - spec.reserved_cpu_milli) / entry.cpu_milli
    left_memory = (worker.free_memory_mb - spec.memory_mb) / max(1, entry.memory_mb)
    score = left_cpu + 0.5 * left_memory
    if spec.accelerators and entry.accelerators:
        # Tasks that want all of a worker's need one that no single task has broken.
        score += (worker.free_accelerators - spec.accelerators) / entry.accelerators
    if worker.health.failures_in_row:
        score += DOUBT_PENALTY
    if spec.preferred_rack and spec.preferred_rack != entry.rack:
        score += REMOTE_PENALTY
    if spec.fills_idle_cpu:
        score += DISTURBANCE_PENALTY * any(
            run.step.target_tail_ms for run in worker.runs.values()
        )
        score -= 2 * left_cpu  # idle processors are what it needs
    elif spec.target_tail_ms:
        score += DISTURBANCE_PENALTY * any(
            run.step.fills_idle_cpu for run in worker.runs.values()
        )
    return score
