"""Rules that find the cause of a refusal, wait or delay in the logs."""

from collections import Counter

from ..log_lines import is_at_limit, is_beyond_share, lacks_permission, ms_between
from .cause import Cause

__all__ = ["cause_of_delay", "cause_of_refusal", "cause_of_wait"]

# Shorter delays are normal for a start or an append.
MIN_DELAY_MS = 50.0


def cause_of_refusal(job):
    """Return why a job was not accepted at once."""
    reasons = {line["reason"] for line in job.with_event("request_given_up")}
    if job.with_event("job_withdrawn") or not reasons:
        return Cause.STORE_AWAY
    return Cause.NO_REPLY if "no_reply" in reasons else Cause.NO_OWNER


def cause_of_wait(wait):
    """Return what a waiting step waits for."""
    if is_at_limit(wait):
        return Cause.ACCOUNT_LIMIT
    if lacks_permission(wait):
        return Cause.NO_PERMISSION
    return Cause.BEYOND_SHARE if is_beyond_share(wait) else Cause.NO_ROOM


def cause_of_delay(job, ended, others):
    """Return the cause of the longest delay of a late job.

    `others` are the lines that are not about a job.
    """
    began_at, ended_at = job.first["at"], ended["at"]
    concurrent_events = {
        line["event"] for line in others if began_at <= line["at"] <= ended_at
    }
    accepted = job.last("job_accepted")
    delays_ms = {
        cause_of_refusal(job): ms_between(job.first, accepted) if accepted else 0.0,
        Cause.RUNS_FAILED: _lost_to_runs_ms(job, "failed"),
        Cause.RUNS_STOPPED: _lost_to_runs_ms(job, "stopped", "broken", "lapsed"),
    }
    starts = job.with_event("tasks_start")
    waited_ms = max((line["waited_ms"] for line in starts), default=0.0)
    cause = _cause_of_late_start(job, concurrent_events)
    delays_ms[cause] = max(delays_ms.get(cause, 0.0), waited_ms)
    largest = max(delays_ms, key=delays_ms.get)
    if delays_ms[largest] >= MIN_DELAY_MS:
        return largest
    return _cause_from_events(concurrent_events)


def _lost_to_runs_ms(job, *ends):
    """Return the longest time that a task lost to runs with the given ends."""
    lost_ms = Counter()
    for line in job.with_event("run_ended"):
        if line.get("how") in ends:
            lost_ms[line.get("task")] += line.get("after_ms") or 0
    return max(lost_ms.values(), default=0.0)


def _cause_of_late_start(job, concurrent_events):
    """Return why a start was late."""
    if "leases_expired" in concurrent_events:
        return Cause.SILENT_WORKER
    wait = job.last("step_waits")
    if wait is not None:
        return cause_of_wait(wait)
    if "ownership_gained" in concurrent_events:
        return Cause.OWNER_REPLACED
    return Cause.START


def _cause_from_events(concurrent_events):
    """Return the most likely cause by events that are not about a job."""
    if "ownership_gained" in concurrent_events:
        return Cause.OWNER_REPLACED
    if concurrent_events & {
        "store_lost",
        "store_slow",
        "store_silent",
        "store_turns_away",
    }:
        return Cause.STORE_SLOW
    return Cause.SLOW_RUNS
