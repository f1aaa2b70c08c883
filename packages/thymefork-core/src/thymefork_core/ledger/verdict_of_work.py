"""The final answer that the ledger gives for a piece of work."""

from thymefork_core.model import Answer, Outcome, WorkKind
from thymefork_core.reasons import Reason

from .entries import Ending

__all__ = ["final_answer"]


def final_answer(spec, ledger, come_back_at_ms):
    """Return the answer once every task is settled; None before that."""
    tasks = [ledger.task(spec.work_id, index) for index in range(spec.tasks)]
    if spec.kind is WorkKind.SERVICE and _service_is_done(tasks[0], spec, ledger):
        return _answer(spec, tasks, Outcome.DONE, tasks[0].reason, 0)
    if not all(task.settled for task in tasks):
        return None
    if all(_ran_to_end(task) for task in tasks):
        return _answer(spec, tasks, Outcome.DONE, None, 0)
    reason = next((t.reason for t in tasks if t.reason), Reason.LOST)
    if any(task.ran for task in tasks):
        if reason is Reason.CANCELLED:
            reason = Reason.CANCELLED_RUNNING
        return _answer(spec, tasks, Outcome.UNKNOWN, reason, 0)
    back = 0 if reason is Reason.CANCELLED else come_back_at_ms
    return _answer(spec, tasks, Outcome.NOT_RUN, reason, back)


def _service_is_done(task, spec, ledger):
    """Tell whether a service runs, or was stopped on its caller's wish."""
    if task.settled:
        return task.ending is Ending.STOPPED
    return task.open and spec.work_id not in ledger.state.closed


def _ran_to_end(task):
    failed_for_good = task.ending is Ending.FAILED and task.open is None
    return task.ending is Ending.DONE or failed_for_good


def _answer(spec, tasks, outcome, reason, come_back_at_ms):
    done = outcome is Outcome.DONE
    return Answer(
        work_id=spec.work_id,
        outcome=outcome,
        reason=reason,
        come_back_at_ms=come_back_at_ms,
        exit_codes=tuple(task.exit_code for task in tasks) if done else (),
        workers=tuple(task.worker for task in tasks) if done else (),
    )
