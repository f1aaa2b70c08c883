"""Select the workers that the advice service is asked about for a step."""

from collections import Counter, defaultdict

import xxhash

from ..placement.worker_ranking import task_capacity

__all__ = ["ApprovalRates", "choose_workers", "has_enough_tickets"]

# Approval rate that is assumed before the first answer.
INITIAL_RATE = 0.5
# Weight of the newest answer in the moving average.
SMOOTHING_FACTOR = 0.1
# Lower bound, at which the next call names as many workers as one may.
MIN_RATE = 0.03
# A call asks for this many times the wanted capacity: approval differs between steps,
# capacity is taken meanwhile, and retries use the same tickets.
MARGIN = 2.0
# Fewer workers save little, since most of a call's cost is fixed.
MIN_WORKERS = 8
# The number of workers doubles each time a step's tasks have waited this much longer,
# since a ticket may be unusable for reasons not known here.
WIDER_AFTER_MS = 500.0


class ApprovalRates:
    """Learn the approval rate of each queue's policy."""

    def __init__(self):
        self._rates = {}

    def rate_of(self, queue_name):
        """Return a queue's approval rate, between `MIN_RATE` and 1."""
        return max(MIN_RATE, self._rates.get(queue_name, INITIAL_RATE))

    def learn(self, queue_name, allowed, asked):
        """Add an answer to the moving average."""
        if not asked:
            return
        known = self._rates.get(queue_name, INITIAL_RATE)
        self._rates[queue_name] = known + SMOOTHING_FACTOR * (allowed / asked - known)


def has_enough_tickets(held, wanted):
    """Return whether a step has enough tickets to wait for capacity on their workers.

    Preemption for a step happens only on workers for which it has tickets.
    """
    return len(held) >= MARGIN * wanted


def choose_workers(
    step,
    with_capacity,
    others,
    wanted,
    *,
    approval_rate,
    waited_ms,
    max_workers,
    lateness=None,
):
    """Return enough workers for the wanted tasks at the expected approval rate.

    Each worker makes the call take longer. Workers with capacity come first, from the
    hall with the most of it, and in an order that differs between steps, so that
    concurrent calls spread over all workers. The number doubles with each denial and
    as the step waits. Where workers are heterogeneous, `lateness` is the step's
    `LatenessProbability`: suitable workers come first, the slower ones before others.
    """
    widening_factor = 2 ** max(step.denials_in_row, int(waited_ms / WIDER_AFTER_MS))
    target = MARGIN * widening_factor * wanted / approval_rate
    min_workers = MIN_WORKERS * widening_factor
    chosen, covered = [], 0
    for worker in _ranked(step, with_capacity, others, lateness):
        if len(chosen) == max_workers or (
            covered >= target and len(chosen) >= min_workers
        ):
            break
        chosen.append(worker)
        covered += max(1, task_capacity(worker, step.spec))
    return chosen


def _ranked(step, with_capacity, others, lateness):
    """Yield the workers that a step may ask about, the best first."""
    if lateness is None:
        yield from _by_hall(step, with_capacity)
    else:
        healthy = [worker for worker in with_capacity if not worker.is_far_slower]
        suitable = lateness.suitable(healthy)
        rest = set(with_capacity).difference(suitable)
        slow = [worker for worker in suitable if worker.slowness >= 1.0]
        fast = [worker for worker in suitable if worker.slowness < 1.0]
        yield from _by_hall(step, slow)
        yield from _by_hall(step, fast)
        yield from _by_hall(
            step, [worker for worker in with_capacity if worker in rest]
        )
    yield from _shuffled(step, others)


def _by_hall(step, with_capacity):
    """Yield workers with capacity, from the hall with the most of it first."""
    capacity, by_hall = Counter(), defaultdict(list)
    for worker in with_capacity:
        hall = worker.entry.hall
        capacity[hall] += task_capacity(worker, step.spec)
        by_hall[hall].append(worker)
    for hall, _ in capacity.most_common():
        yield from _shuffled(step, by_hall[hall])


def _shuffled(step, workers):
    """Return workers in a pseudo-random order that is fixed for a step."""
    name = step.name
    return sorted(
        workers,
        key=lambda worker: xxhash.xxh32_intdigest(f"{name}{worker.worker_id}".encode()),
    )
