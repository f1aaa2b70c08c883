"""Timeline and outcome of a job, task or run from the saved logs of instances."""

from attrs import field, frozen

from .log_lines import (
    is_about,
    is_at_limit,
    is_beyond_share,
    lacks_permission,
    lines_with,
    ms_between,
)

__all__ = ["Timeline", "explain_subject"]

# Events of a whole cell that can delay its jobs, with their descriptions.
_CELL_EVENTS = {
    "ownership_lost": "the cell lost its owner",
    "ownership_gained": "the cell got a new owner",
    "store_turns_away": "the store rejected appends",
    "store_slow": "the store became slow",
    "store_lost": "an instance lost the store",
    "worker_silent": "a worker stopped answering",
    "worker_life_changed": "a worker restarted under the same id",
    "leases_expired": "the leases on an unreachable worker expired",
}
# Fields that are not printed as key=value.
_OMITTED_FIELDS = (
    "at",
    "steady_ms",
    "level",
    "instance",
    "hall",
    "event",
    "text",
    "cell",
)


@frozen(kw_only=True)
class Timeline:
    """Hold the log lines about an id in time order, and the cause of its outcome.

    `near` are lines about its cell or workers from the same time.
    """

    subject: str
    lines: tuple[dict, ...]
    cause: str
    near: tuple[dict, ...] = field(default=())

    def document(self):
        """Return the timeline as a JSON document."""
        return {
            "subject": self.subject,
            "cause": self.cause,
            "lines": self.lines,
            "near": self.near,
        }

    def text(self):
        """Return the timeline as text, with the cause as its last line."""
        rows = sorted((*self.lines, *self.near), key=lambda line: line["at"])
        return "\n".join([*map(_format_line, rows), f"cause: {self.cause}"])


def _format_line(line):
    fields = [f"{key}={line[key]}" for key in line if key not in _OMITTED_FIELDS]
    return (
        f"{line['at']} {line.get('instance', '?')} {line['event']} {' '.join(fields)}"
    )


def explain_subject(subject, lines):
    """Return the timeline of a job, task or run."""
    own_lines = tuple(line for line in lines if is_about(line, subject))
    if not own_lines:
        cause = (
            "no line names this id: it reached none of the instances with these logs"
        )
        return Timeline(subject=subject, lines=(), cause=cause)
    first, last = own_lines[0]["at"], own_lines[-1]["at"]
    workers = {line["worker"] for line in own_lines if "worker" in line}
    near = tuple(
        line
        for line in lines
        if first <= line["at"] <= last and _is_near(line, workers)
    )
    return Timeline(
        subject=subject, lines=own_lines, near=near, cause=_cause(own_lines, near)
    )


def _is_near(line, workers):
    if line["event"] not in _CELL_EVENTS:
        return False
    return "worker" not in line or line["worker"] in workers


def _cause(own_lines, near):
    ended = lines_with(own_lines, "job_ended")
    refused = lines_with(own_lines, "request_given_up")
    withdrawn = lines_with(own_lines, "job_withdrawn")
    if ended:
        end = _describe_end(ended[-1])
        return "; ".join(
            [end, *_earlier_refusals(refused, withdrawn), *_delays(own_lines, near)]
        )
    if withdrawn:
        return "refused: the store did not accept it, so nothing was stored"
    if refused:
        line = refused[-1]
        return f"{line['outcome']}: {line['reason']} when {line['kind']} was requested"
    refusals = lines_with(own_lines, "request_refused")
    if refusals and not lines_with(own_lines, "job_accepted"):
        line = refusals[-1]
        description = (
            f"{line['outcome']} after {line['after_ms']} ms, {len(refusals)} times"
        )
        return f"{description}: its cell's owner could store nothing, or was not found"
    return "; ".join(["it has not ended in these logs", *_delays(own_lines, near)])


def _describe_end(line):
    """Return how a job ended, and whether within its estimated objective."""
    end = f"{line['state']} after {line['after_ms']} ms: {line['reason']}"
    objective_ms = line.get("objective_ms", 0)
    if line["state"] != "succeeded" or not objective_ms:
        return end
    word = "late" if line["after_ms"] > objective_ms else "in time"
    return f"{end} ({word}: its objective was about {objective_ms} ms)"


def _earlier_refusals(refused, withdrawn):
    """Return why earlier attempts to submit the job were refused."""
    reasons = sorted({line["reason"] for line in (*refused, *withdrawn)})
    return [f"earlier attempts were refused: {', '.join(reasons)}"] if reasons else []


def _delays(own_lines, near):
    """Return what delayed the job, the most specific reasons first."""
    delays = []
    failed = [line for line in own_lines if line.get("how") == "failed"]
    if failed:
        workers = sorted({line["worker"] for line in failed})
        delays.append(f"{len(failed)} runs failed on {', '.join(workers)}")
    for event, description in (
        ("run_stands_still", "runs stalled"),
        ("run_moves", "runs were moved off a slow worker"),
        ("runs_lost", "times a worker with its runs was lost"),
        ("start_refused", "starts were refused"),
    ):
        count = len(lines_with(own_lines, event))
        if count:
            delays.append(f"{count} {description}")
    waits = lines_with(own_lines, "step_waits")
    if waits:
        delays.append(_describe_wait(waits[-1]))
    seen = {line["event"] for line in near}
    delays += [
        description for event, description in _CELL_EVENTS.items() if event in seen
    ]
    starts = lines_with(own_lines, "tasks_start")
    if starts:
        delays += _longest_step(own_lines, starts)
        waited_ms = max(line["waited_ms"] for line in starts)
        delays.append(f"the longest wait for a start was {waited_ms} ms")
    return delays


def _longest_step(own_lines, starts):
    """Return the step that took longest from its first start, if the job has ended."""
    ends = lines_with(own_lines, "job_ended")
    if not ends or not starts:
        return []
    first_starts = {}
    for line in starts:
        first_starts.setdefault(line["step"], line)
    boundaries = [*first_starts.values(), ends[-1]]
    spans_ms = {
        before["step"]: ms_between(before, after)
        for before, after in zip(boundaries, boundaries[1:], strict=False)
    }
    longest = max(spans_ms, key=spans_ms.get)
    return [f"{longest} took longest, {spans_ms[longest]:.0f} ms from its first start"]


def _describe_wait(line):
    awaited = "capacity"
    if is_at_limit(line):
        awaited = f"its account {line['account']}, which was at its limit"
    elif lacks_permission(line):
        awaited = "permission of its policy"
    elif is_beyond_share(line):
        awaited = f"capacity: its account {line['account']} was beyond its share"
    return f"{line['step']} waited {line['for_ms']} ms for {awaited}"
