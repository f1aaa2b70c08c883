"""Which workers, and how many, the advice service is asked about for a step."""

from collections import Counter, defaultdict

import xxhash

from ..placement.worker_ranking import task_capacity

__all__ = ["ApprovalRates", "choose_workers", "has_enough_tickets"]

# Until a queue's policy was seen at work, it is taken to allow half of the workers.
FIRST_SHARE = 0.5
# Each answer counts this much: a policy's share is known after about ten of them.
WEIGHT_OF_NEWEST = 0.1
# A policy that has allowed nothing yet is taken to allow one worker in thirty: its next
# call then names as many workers as one may.
LEAST_SHARE = 0.03
# A call covers this many times the room that is wanted, by the share learned: policies
# differ from step to step, room is taken meanwhile, and a task that fails is started
# elsewhere under the same tickets.
MARGIN = 2.0
# By the service's own figures a call costs as much as about seventy workers, so asking
# about fewer than these saves little.
FEWEST_WORKERS = 8
# A step whose tasks have waited this long asks about twice as many, and so on: the time
# of a call about a few workers in the slowest queues. What a few tickets can't be used
# for is not known in full, and a task must not wait beside idle workers.
WIDER_AFTER_MS = 500.0


class ApprovalRates:
    """Learn what share of the workers asked about each queue's policy allows."""

    def __init__(self):
        self._shares = {}

    def rate_of(self, queue_name):
        """Return the share that a queue's policy usually allows, above 0 up to 1."""
        return max(LEAST_SHARE, self._shares.get(queue_name, FIRST_SHARE))

    def learn(self, queue_name, allowed, asked):
        """Note an answer."""
        if not asked:
            return
        known = self._shares.get(queue_name, FIRST_SHARE)
        self._shares[queue_name] = known + WEIGHT_OF_NEWEST * (allowed / asked - known)


def has_enough_tickets(held, wanted):
    """Tell whether a step holds tickets for workers enough to wait there for room.

    Less urgent work makes way for a step only where it has tickets.
    """
    return len(held) >= MARGIN * wanted


def choose_workers(
    step,
    with_room,
    others,
    wanted,
    *,
    approval_rate,
    waited_ms,
    max_workers,
    lateness=None,
):
    """Return workers with room for the wanted tasks by the share that is allowed.

    The service takes longer for each worker that it is asked about. Those with room
    come first, from the hall with the most of it, and within a hall in an order that
    differs from step to step, so that steps which ask at the same time spread over all
    workers. After an answer that allowed none, and as the step waits, a call asks about
    twice as many as the one before. Where workers are uneven, `lateness` tells how likely
    a task is late on each: those that suit come first, of them the slowest.
    """
    wider = 2 ** max(step.denials_in_row, int(waited_ms / WIDER_AFTER_MS))
    target = MARGIN * wider * wanted / approval_rate
    fewest = FEWEST_WORKERS * wider
    chosen, covered = [], 0
    for worker in _ranked(step, with_room, others, lateness):
        if len(chosen) == max_workers or (covered >= target and len(chosen) >= fewest):
            break
        chosen.append(worker)
        covered += max(1, task_capacity(worker, step.spec))
    return chosen


def _ranked(step, with_room, others, lateness):
    """Yield the workers that a step may ask about, the best ones first."""
    if lateness is None:
        yield from _by_hall(step, with_room)
    else:
        sound = [worker for worker in with_room if not worker.is_far_slower]
        suitable = lateness.suitable(sound)
        rest = set(with_room).difference(suitable)
        slow = [worker for worker in suitable if worker.slowness >= 1.0]
        fast = [worker for worker in suitable if worker.slowness < 1.0]
        yield from _by_hall(step, slow)
        yield from _by_hall(step, fast)
        yield from _by_hall(step, [worker for worker in with_room if worker in rest])
    yield from _drawn(step, others)


def _by_hall(step, with_room):
    """Yield workers with room, from the hall with the most of it first."""
    room, by_hall = Counter(), defaultdict(list)
    for worker in with_room:
        hall = worker.entry.hall
        room[hall] += task_capacity(worker, step.spec)
        by_hall[hall].append(worker)
    for hall, _ in room.most_common():
        yield from _drawn(step, by_hall[hall])


def _drawn(step, workers):
    """Return workers in an order that is drawn for a step."""
    name = step.name
    return sorted(
        workers,
        key=lambda worker: xxhash.xxh32_intdigest(f"{name}{worker.worker_id}".encode()),
    )
