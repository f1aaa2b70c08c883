"""Experimental step order for overload: steps that can meet their objective first."""

from thymefork_cells.placement.step_order import StepOrder

__all__ = ["OverloadDetector", "order_ignoring_priorities", "order_when_overloaded"]

# Hysteresis: overload starts above the one ratio and stops below the other.
START_RATIO = 1.0
STOP_RATIO = 0.5
# A late result is useful until this multiple of the objective.
USEFUL_FACTOR = 3.0
_ORDER_BY_SHARE = StepOrder._by_use


class OverloadDetector:
    """Detect that more work waits than fits within the shortest objective."""

    def __init__(self):
        self.is_overloaded = False

    def update(self, waiting, available):
        """Return whether the cell is overloaded.

        Units: core-milliseconds.
        """
        ratio = waiting / available if available > 0 else float(waiting > 0) * 2.0
        self.is_overloaded = ratio > (STOP_RATIO if self.is_overloaded else START_RATIO)
        return self.is_overloaded


# By the id of the order, which has slots and cannot hold its detector.
_detectors = {}


def _detector(order):
    return _detectors.setdefault(id(order), (order, OverloadDetector()))[1]


def _requested_work(order, steps):
    return sum(
        len(step.waiting)
        * step.spec.reserved_cpu_milli
        * order._durations.expected_ms(step.spec)
        for step in steps
    )


def _available_work(order, span_ms, now_ms):
    """Return the capacity available within a time span, in core-milliseconds."""
    available = 0.0
    for worker in order._context.workers.values():
        available += worker.entry.cpu_milli * span_ms
        for run in worker.runs.values():
            left_ms = min(span_ms, order._durations.left_ms(run, now_ms))
            available -= run.step.reserved_cpu_milli * left_ms
    return available


def _can_meet_objective(order, step, slowness, now_ms):
    lateness = order._durations.lateness_probability(step, now_ms)
    if lateness is None:
        return True
    return lateness._usual_ms * slowness <= lateness._left_ms


def order_when_overloaded(order, steps, now_ms, ignore_priorities=False):
    """Put steps that can meet their objective first, then those useful the longest."""
    ready = [step for step in steps if step.ready and not step.spec.long_running]
    spans = [step.job.objective_ms - step.job.accepted_ms for step in ready]
    is_overloaded = _detector(order).update(
        _requested_work(order, ready),
        _available_work(order, min(spans, default=0.0), now_ms) if spans else 1.0,
    )
    if not is_overloaded:
        return _ORDER_BY_SHARE(order, steps, now_ms)
    workers = order._context.workers.values()
    slowness = min((worker.slowness for worker in workers), default=1.0)

    def rank(step):
        job = step.job
        is_beyond = job.is_beyond_share
        priority = 0 if ignore_priorities else order._context.queue(job).priority
        if _can_meet_objective(order, step, slowness, now_ms):
            return (is_beyond, priority, 0, 0.0)
        span_ms = job.objective_ms - job.accepted_ms
        useful_until_ms = job.accepted_ms + USEFUL_FACTOR * span_ms
        return (is_beyond, priority, 1 + (useful_until_ms < now_ms), useful_until_ms)

    return _ORDER_BY_SHARE(order, sorted(steps, key=rank), now_ms)


def order_ignoring_priorities(order, steps, now_ms):
    """Order steps like `order_when_overloaded`, ignoring the queues' priorities."""
    return order_when_overloaded(order, steps, now_ms, ignore_priorities=True)
