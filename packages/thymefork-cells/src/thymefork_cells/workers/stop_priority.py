"""Order in which due stop commands are sent."""

from ..state import JobState

__all__ = ["sort_by_stop_priority"]


def sort_by_stop_priority(runs, live_jobs):
    """Return runs in the order in which their stops are sent.

    Runs of cancelled jobs come first, starting with those that free the largest part of
    the resources that ready tasks wait for. The others keep their order.
    """
    cancelled = [run for run in runs if _is_cancelled(run)]
    if not cancelled or len(runs) == 1:
        return runs
    others = [run for run in runs if not _is_cancelled(run)]
    if len(cancelled) > 1:
        total_demand = _total_demand(live_jobs)
        steps = {id(run.step): run.step for run in cancelled}
        freed = {key: _freed_fraction(total_demand, steps[key]) for key in steps}
        cancelled.sort(key=lambda run: freed[id(run.step)], reverse=True)
    return cancelled + others


def _is_cancelled(run):
    return run.task.step.job.state is JobState.CANCELLED


def _total_demand(live_jobs):
    """Return the cpu, memory and accelerators that ready tasks wait for."""
    total = (0, 0, 0)
    for job in live_jobs:
        for step in job.steps:
            count = len(step.waiting) if step.ready else 0
            if count:
                rows = zip(total, _reserved_resources(step.spec), strict=True)
                total = tuple(sum_ + count * held for sum_, held in rows)
    return total


def _reserved_resources(spec):
    return spec.reserved_cpu_milli, spec.memory_mb, spec.accelerators


def _freed_fraction(total_demand, step):
    """Return the sum, over resources, of the fraction of demand that a stop frees."""
    rows = zip(_reserved_resources(step), total_demand, strict=True)
    return sum(min(1.0, held / wanted) for held, wanted in rows if wanted)
