"""Runs that will probably be lost once the leases on silent workers are over."""

from attrs import define

__all__ = ["ExpectedLoss", "expected_losses"]


@define(kw_only=True)
class ExpectedLoss:
    """Hold how many tasks of a step will have to start again, and from when on.

    Units: `first_ms` on the steady clock.
    """

    tasks: int
    first_ms: float


def expected_losses(workers):
    """Return the expected losses by step; a gang starts again as a whole."""
    losses = {}
    for worker in workers:
        if not worker.has_no_contact:
            continue
        for run in worker.runs.values():
            if _would_wait(run):
                _add(losses, run.task.step, worker.runs_until_ms)
    return losses


def _would_wait(run):
    """Return whether a run's task would have to start again without it."""
    task = run.task
    return not task.done and task.step.job.is_live and len(task.runs) == 1


def _add(losses, step, until_ms):
    loss = losses.setdefault(step, ExpectedLoss(tasks=0, first_ms=until_ms))
    loss.tasks = len(step.tasks) if step.spec.gang else loss.tasks + 1
    loss.first_ms = min(loss.first_ms, until_ms)
