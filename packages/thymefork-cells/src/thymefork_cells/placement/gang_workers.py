"""Choose workers for all tasks of a gang at once."""

from .worker_ranking import task_capacity

__all__ = ["workers_for_gang"]


# How long a gang waits for workers that are not on probation. Longer than it takes to
# see a worker fail what it starts.
PROBATION_WAIT_MS = 1_000.0


def workers_for_gang(step, workers, now_ms):
    """Return a worker for each task of a gang, or None if they do not all fit.

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
        slots += [worker] * task_capacity(worker, spec)
        if len(slots) >= spec.count:
            return slots[: spec.count]
    return None
