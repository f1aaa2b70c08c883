"""A trial: past full load, steps that can still be in time go first."""

from thymefork_cells.placement.step_order import StepOrder

__all__ = ["OverloadDetector", "order_ignoring_priorities", "order_when_overloaded"]

# On above the one, off below the other, so that it does not flap.
START_RATIO = 1.0
STOP_RATIO = 0.5
# An answer is of some use until so many times the objective.
USEFUL_FACTOR = 3.0
_ORDER_BY_SHARE = StepOrder._by_use


class OverloadDetector:
    """Tell whether more waits than finds room within the shortest objective."""

    def __init__(self):
        self.is_on = False

    def update(self, waiting, coming):
        """Take what waits and what room comes, in core-milliseconds."""
        ratio = waiting / coming if coming > 0 else float(waiting > 0) * 2.0
        self.is_on = ratio > (STOP_RATIO if self.is_on else START_RATIO)
        return self.is_on


# One to each order, which can't hold it.
_states = {}


def _state(order):
    return _states.setdefault(id(order), (order, OverloadDetector()))[1]


def _requested_work(order, steps):
    return sum(
        len(step.waiting)
        * step.spec.reserved_cpu_milli
        * order._durations.expected_ms(step.spec)
        for step in steps
    )


def _available_work(order, span_ms, now_ms):
    """Return what is free, or comes free, in a span, in core-milliseconds."""
    room = 0.0
    for worker in order._context.workers.values():
        room += worker.entry.cpu_milli * span_ms
        for run in worker.runs.values():
            left_ms = min(span_ms, order._durations.left_ms(run, now_ms))
            room -= run.step.reserved_cpu_milli * left_ms
    return room


def _can_meet_objective(order, step, slowness, now_ms):
    chance = order._durations.lateness_probability(step, now_ms)
    if chance is None:
        return True
    return chance._usual_ms * slowness <= chance._left_ms


def order_when_overloaded(order, steps, now_ms, ignore_priorities=False):
    """Put steps that can still be in time first, then those of use for the longest."""
    ready = [step for step in steps if step.ready and not step.spec.long_running]
    spans = [step.job.objective_ms - step.job.accepted_ms for step in ready]
    is_on = _state(order).update(
        _requested_work(order, ready),
        _available_work(order, min(spans, default=0.0), now_ms) if spans else 1.0,
    )
    if not is_on:
        return _ORDER_BY_SHARE(order, steps, now_ms)
    workers = order._context.workers.values()
    slowness = min((worker.slowness for worker in workers), default=1.0)

    def rank(step):
        job = step.job
        beyond = job.is_beyond_share
        priority = 0 if ignore_priorities else order._context.queue(job).priority
        if _can_meet_objective(order, step, slowness, now_ms):
            return (beyond, priority, 0, 0.0)
        span_ms = job.objective_ms - job.accepted_ms
        use_until_ms = job.accepted_ms + USEFUL_FACTOR * span_ms
        return (beyond, priority, 1 + (use_until_ms < now_ms), use_until_ms)

    return _ORDER_BY_SHARE(order, sorted(steps, key=rank), now_ms)


def order_ignoring_priorities(order, steps, now_ms):
    """Do so whatever the queues' priorities."""
    return order_when_overloaded(order, steps, now_ms, ignore_priorities=True)
