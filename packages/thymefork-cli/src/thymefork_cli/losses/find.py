"""Search for lost and late jobs."""

from ..log_lines import job_of, lines_with, ms_between
from .cause import Cause
from .cause_rules import cause_of_delay, cause_of_refusal, cause_of_wait
from .job_lines import JobLines
from .loss import Loss
from .losses import Losses
from .outcome import Outcome

__all__ = ["find_losses"]

# Unfinished jobs count as lost if the logs go on for this long after their first line.
LOST_AFTER_MS = 20_000.0
# Without these lines the outcome of a job is unknown.
DECISIVE_EVENTS = {"job_accepted", "job_ended"}


def find_losses(lines):
    """Return the lost and late jobs in lines that are sorted by time."""
    by_job, others = {}, []
    for line in lines:
        job = job_of(line)
        if job:
            by_job.setdefault(job, []).append(line)
        else:
            others.append(line)
    jobs = [JobLines(job=job, lines=own_lines) for job, own_lines in by_job.items()]
    submitted = [job for job in jobs if job.is_submitted]
    suppressed_at = _last_suppressed_at(others)
    known = [job for job in submitted if not _is_unknown(job, suppressed_at)]
    found = [_loss_of(job, others, lines[-1]) for job in known]
    return Losses(
        requests=len(submitted),
        items=tuple(loss for loss in found if loss is not None),
        unknown=len(submitted) - len(known),
    )


def _last_suppressed_at(others):
    """Return when decisive lines were last suppressed or dropped, empty if never."""
    return max(
        (
            line["at"]
            for line in lines_with(others, "lines_left_out")
            if line.get("dropped") or DECISIVE_EVENTS & line.get("counts", {}).keys()
        ),
        default="",
    )


def _is_unknown(job, suppressed_at):
    """Return whether the line with a job's end may be missing from the logs."""
    return job.last("job_ended") is None and job.first["at"] <= suppressed_at


def _loss_of(job, others, last_line):
    """Return the loss of a job, None if it ended in time or was cancelled.

    `others` are the lines that are not about a job.
    """
    ended = job.last("job_ended")
    if ended is not None and ended["state"] not in ("cancelled", "failed"):
        outcome, cause = Outcome.LATE, _cause_if_late(job, ended, others)
    else:
        outcome, cause = Outcome.LOST, _cause_if_lost(job, ended, last_line)
    if cause is None:
        return None
    return Loss(
        job=job.job,
        queue=job.queue,
        at=job.first["at"],
        outcome=outcome,
        cause=cause,
    )


def _cause_if_late(job, ended, others):
    objective_ms = ended.get("measured_objective_ms") or ended.get("objective_ms", 0)
    if not objective_ms or ms_between(job.first, ended) <= objective_ms:
        return None
    return cause_of_delay(job, ended, others)


def _cause_if_lost(job, ended, last_line):
    if ended is not None and ended["state"] == "failed":
        crash_lines = job.with_event("task_crashes_workers")
        return Cause.CRASHES if crash_lines else Cause.FAILED
    if ended is not None:
        return None
    if not job.is_accepted:
        return cause_of_refusal(job)
    if ms_between(job.first, last_line) < LOST_AFTER_MS:
        return None
    return _cause_if_unfinished(job)


def _cause_if_unfinished(job):
    """Return what an unfinished job waits for, None if its tasks have started."""
    wait = job.last("step_waits")
    if wait is not None:
        return Cause.NOT_ALLOWED if wait.get("allowed") == 0 else cause_of_wait(wait)
    return None if job.with_event("tasks_start") else Cause.START
