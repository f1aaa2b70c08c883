"""Requests that were lost or late, by cause, from the saved logs of instances."""

from collections import Counter
from datetime import datetime, timedelta
from enum import StrEnum

from attrs import field, frozen

from .log_lines import job_of, lacks_permission

__all__ = ["Cause", "Loss", "Losses", "Outcome", "find_losses"]

# A job that has not ended this long before the logs do counts as lost; younger ones
# may still be on their way.
OPEN_MS = 20_000.0
# A delay below this explains nothing: it is what each start or append takes.
LEAST_DELAY_MS = 50.0


class Outcome(StrEnum):
    """Name how a request fell short."""

    LOST = "lost"
    LATE = "late"


class Cause(StrEnum):
    """Name what a request was lost or late for."""

    STORE_AWAY = "the store took nothing"
    NO_OWNER = "its cell's owner was not found"
    NO_REPLY = "its cell's owner did not reply"
    FAILED = "its tasks failed too often"
    NOT_ALLOWED = "its policy allows no worker"
    NO_PERMISSION = "it waited for its policy's permission"
    NO_ROOM = "it waited for room"
    START = "it waited for a start"
    SILENT_WORKER = "a worker with its runs fell silent"
    RUNS_FAILED = "runs of it failed"
    RUNS_STOPPED = "runs of it were stopped"
    OWNER_REPLACED = "its cell's owner was replaced"
    STORE_SLOW = "the store was slow or away meanwhile"
    SLOW_RUNS = "its runs took long, or nothing in the logs explains it"


@frozen(kw_only=True)
class Loss:
    """Hold a request that fell short; `at` is its first line's time of day."""

    job: str
    queue: str
    at: str
    outcome: Outcome
    cause: Cause

    def document(self):
        """Return the loss as one JSON object."""
        return {
            "job": self.job,
            "queue": self.queue,
            "at": self.at,
            "outcome": str(self.outcome),
            "cause": str(self.cause),
        }


@frozen(kw_only=True)
class Losses:
    """Hold all losses of a set of logs, and how many requests they are among."""

    requests: int
    items: tuple[Loss, ...] = field(default=())

    def counts(self):
        """Return how many were lost and late by cause and queue, the most first."""
        counts = Counter((item.cause, item.queue, item.outcome) for item in self.items)
        return sorted(counts.items(), key=lambda row: (-row[1], row[0]))

    def document(self):
        """Return the losses as one JSON document."""
        rows = [
            {
                "cause": str(cause),
                "queue": queue,
                "outcome": str(outcome),
                "requests": count,
            }
            for (cause, queue, outcome), count in self.counts()
        ]
        items = [item.document() for item in self.items]
        return {"requests": self.requests, "by_cause": rows, "losses": items}

    def text(self):
        """Return a table, one line a cause, queue and outcome."""
        lost = sum(item.outcome is Outcome.LOST for item in self.items)
        late = len(self.items) - lost
        lines = [f"{self.requests} requests, {lost} lost, {late} late"]
        for (cause, queue, outcome), count in self.counts():
            lines.append(f"{count:6d} {outcome:4} {queue:14} {cause}")
        return "\n".join(lines)


def find_losses(lines):
    """Return what was lost or late in lines that are in time order."""
    if not lines:
        return Losses(requests=0)
    stories = {}
    around = []
    for line in lines:
        job = job_of(line)
        if job:
            stories.setdefault(job, []).append(line)
        else:
            around.append(line)
    end = _moment(lines[-1])
    handed_in = {job: own for job, own in stories.items() if _is_handed_in(own)}
    items = [_judge(job, own, around, end) for job, own in handed_in.items()]
    found = tuple(item for item in items if item is not None)
    return Losses(requests=len(handed_in), items=found)


def _is_handed_in(own):
    """Tell whether the lines tell of a job, not only of a question about one."""
    return any(
        line["event"] == "job_accepted" or line.get("kind") == "submit" for line in own
    )


def _moment(line):
    return datetime.fromisoformat(line["at"])


def _ms_between(first, last):
    return (_moment(last) - _moment(first)) / timedelta(milliseconds=1)


def _with_event(own, *events):
    return [line for line in own if line["event"] in events]


def _judge(job, own, around, end):
    """Return how a job fell short, None if it did not or was cancelled."""
    ended = _with_event(own, "job_ended")
    accepted = _with_event(own, "job_accepted")
    if ended:
        outcome, cause = _judge_ended(own, accepted, ended[-1], around)
    elif accepted and not _is_withdrawn(own):
        outcome, cause = _judge_open(own, end)
    else:
        outcome, cause = Outcome.LOST, _refusal(own)
    if cause is None:
        return None
    queues = [line["queue"] for line in own if line.get("queue")]
    return Loss(
        job=job,
        queue=queues[0] if queues else "",
        at=own[0]["at"],
        outcome=outcome,
        cause=cause,
    )


def _is_withdrawn(own):
    last = _with_event(own, "job_accepted", "job_withdrawn")[-1]
    return last["event"] == "job_withdrawn"


def _refusal(own):
    reasons = {line["reason"] for line in _with_event(own, "request_given_up")}
    if _with_event(own, "job_withdrawn") or not reasons:
        return Cause.STORE_AWAY
    return Cause.NO_REPLY if "no_reply" in reasons else Cause.NO_OWNER


def _judge_open(own, end):
    """Judge a job that was accepted and has no end in the logs."""
    waits = _with_event(own, "step_waits")
    if (end - _moment(own[0])) / timedelta(milliseconds=1) < OPEN_MS:
        return Outcome.LOST, None
    if waits and waits[-1].get("allowed") == 0:
        return Outcome.LOST, Cause.NOT_ALLOWED
    if not waits and not _with_event(own, "tasks_start"):
        return Outcome.LOST, Cause.START
    if waits:
        return Outcome.LOST, _wait_cause(waits)
    return Outcome.LOST, None  # a job that lasts


def _judge_ended(own, accepted, ended, around):
    if ended["state"] == "cancelled":
        return Outcome.LOST, None
    if ended["state"] == "failed":
        return Outcome.LOST, Cause.FAILED
    objective_ms = ended.get("measured_objective_ms") or ended.get("objective_ms", 0)
    took_ms = _ms_between(own[0], ended)
    if not objective_ms or took_ms <= objective_ms:
        return Outcome.LATE, None
    return Outcome.LATE, _delay(own, accepted, ended, around)


def _wait_cause(waits):
    return Cause.NO_PERMISSION if lacks_permission(waits[-1]) else Cause.NO_ROOM


def _delay(own, accepted, ended, around):
    """Return what took the largest part of a late job's time."""
    meanwhile = [line for line in around if own[0]["at"] <= line["at"] <= ended["at"]]
    parts = {
        _refusal(own): _ms_between(own[0], accepted[-1]) if accepted else 0.0,
        Cause.RUNS_FAILED: _sum_of_runs(own, "failed"),
        Cause.RUNS_STOPPED: _sum_of_runs(own, "stopped", "broken", "lapsed"),
    }
    starts = _with_event(own, "tasks_start")
    waited_ms = max((line["waited_ms"] for line in starts), default=0.0)
    wait_cause = _cause_of_wait(own, meanwhile)
    parts[wait_cause] = max(parts.get(wait_cause, 0.0), waited_ms)
    cause = max(parts, key=parts.get)
    if parts[cause] >= LEAST_DELAY_MS:
        return cause
    return _cause_around(meanwhile)


def _sum_of_runs(own, *ends):
    """Return the longest time that one task lost to runs with such ends."""
    lost_ms = Counter()
    for line in _with_event(own, "run_ended"):
        if line.get("how") in ends:
            lost_ms[line.get("task")] += line.get("after_ms") or 0
    return max(lost_ms.values(), default=0.0)


def _cause_of_wait(own, meanwhile):
    """Return why a start came late, by what happened while the job lived."""
    waits = _with_event(own, "step_waits")
    seen = {line["event"] for line in meanwhile}
    if "leases_expired" in seen:
        return Cause.SILENT_WORKER
    if waits:
        return _wait_cause(waits)
    if "ownership_gained" in seen:
        return Cause.OWNER_REPLACED
    return Cause.START


def _cause_around(meanwhile):
    seen = {line["event"] for line in meanwhile}
    if "ownership_gained" in seen:
        return Cause.OWNER_REPLACED
    if seen & {"store_lost", "store_slow", "store_silent", "store_turns_away"}:
        return Cause.STORE_SLOW
    return Cause.SLOW_RUNS
