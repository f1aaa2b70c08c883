"""Choose workers for all tasks of a gang at once."""

from .worker_ranking import task_capacity

__all__ = ["workers_for_gang"]


def workers_for_gang(step, workers):
    """Return a worker for each task of a gang, or None if they do not all fit.

    Workers are used in the order given. With `same_rack`, a single rack is tried first.
    """
    if step.spec.same_rack:
        for members in _by_rack(workers):
            chosen = _allocate(step.spec, members)
            if chosen is not None:
                return chosen
    return _allocate(step.spec, workers)


def _by_rack(workers):
    racks = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return racks.values()


def _allocate(spec, workers):
    slots = []
    for worker in workers:
        if worker.health.on_probation:
            continue
        slots += [worker] * task_capacity(worker, spec)
        if len(slots) >= spec.count:
            return slots[: spec.count]
    return None
