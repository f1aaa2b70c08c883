"""Which of the stops that are due leave first."""

from functools import partial

from ..state import JobState

__all__ = ["sort_by_stop_priority"]


def sort_by_stop_priority(runs, live_jobs):
    """Return runs in the order in which their stops leave.

    Those of cancelled jobs come first: nobody gains by what they still do. Of these,
    the ones that free the largest part of what is waited for; all others as they are.
    """
    cancelled = [run for run in runs if _is_cancelled(run)]
    if not cancelled or len(runs) == 1:
        return runs
    others = [run for run in runs if not _is_cancelled(run)]
    if len(cancelled) > 1:
        freed = partial(_freed_part, _waited_for(live_jobs))
        cancelled.sort(key=freed, reverse=True)
    return cancelled + others


def _is_cancelled(run):
    return run.task.step.job.state is JobState.CANCELLED


def _waited_for(live_jobs):
    """Return the processors, memory and accelerators that ready tasks wait for."""
    total = (0, 0, 0)
    for job in live_jobs:
        for step in job.steps:
            count = len(step.waiting) if step.ready else 0
            if count:
                rows = zip(total, _held(step.spec), strict=True)
                total = tuple(sum_ + count * held for sum_, held in rows)
    return total


def _held(spec):
    return spec.reserved_cpu_milli, spec.memory_mb, spec.accelerators


def _freed_part(waited_for, run):
    """Return the parts of what is waited for that a run's end frees, added up."""
    rows = zip(_held(run.step), waited_for, strict=True)
    return sum(min(1.0, held / wanted) for held, wanted in rows if wanted)
