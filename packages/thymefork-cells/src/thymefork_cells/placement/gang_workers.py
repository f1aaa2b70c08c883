"""Choose workers for all tasks of a gang at once."""

from .worker_ranking import task_capacity

__all__ = ["workers_for_gang"]


# How long a gang waits for workers that are not on probation. Longer than it takes to
# see a worker fail what it starts.
PROBATION_WAIT_MS = 1_000.0


def workers_for_gang(step, workers, now_ms):
    """Return a worker for each task of a gang, or None if they do not all fit.

    A task that is bound to a worker by a delayed start gets that one.
    Workers are used in the order given, those on probation only if the gang fits on no
    others for a while: no single task may come to probe them. With `same_rack`, a
    single rack is tried first.
    """
    sound = [worker for worker in workers if not worker.health.on_probation]
    chosen = _choose(step, sound)
    if chosen is not None or step.longest_wait_ms(now_ms) < PROBATION_WAIT_MS:
        return chosen
    return _choose(step, [*sound, *(one for one in workers if one not in sound)])


def _choose(step, workers):
    if step.spec.same_rack:
        for members in _by_rack(workers):
            chosen = _allocate(step, members)
            if chosen is not None:
                return chosen
    return _allocate(step, workers)


def _by_rack(workers):
    racks = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return racks.values()


def _allocate(step, workers):
    """Return a worker for each task, or None if they do not all fit."""
    bound = {task: None for task in step.tasks if task.required_worker_id}
    missing, slots = len(bound), []
    for worker in workers:
        own_tasks = [task for task in bound if task.may_repeat_on(worker)]
        bound |= dict.fromkeys(own_tasks, worker)
        missing -= len(own_tasks)
        unused_slots = task_capacity(worker, step.spec) - len(own_tasks)
        if unused_slots < 0:
            return None
        slots += [worker] * unused_slots
        if not missing and len(slots) + len(bound) >= step.spec.count:
            others = iter(slots)
            return [bound.get(task) or next(others) for task in step.tasks]
    return None
