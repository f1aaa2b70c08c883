"""Structured lines of saved logs, and what they say."""

from datetime import datetime, timedelta

import orjson

__all__ = [
    "is_about",
    "is_at_limit",
    "is_beyond_share",
    "job_of",
    "lacks_permission",
    "lines_with",
    "ms_between",
    "read_lines",
]


def read_lines(paths):
    """Return the structured lines of log files; other text in front is passed over."""
    lines = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = orjson.loads(text[start:])
                except orjson.JSONDecodeError:
                    continue  # a line that was cut off tells nothing that can be used
                if isinstance(line, dict) and "event" in line and "at" in line:
                    lines.append(line)
    return sorted(lines, key=lambda line: line["at"])


def lines_with(lines, *events):
    """Return the lines that tell of one of some events."""
    return [line for line in lines if line["event"] in events]


def ms_between(first, last):
    """Return the milliseconds from one line to another by the time of day."""
    began, ended = (datetime.fromisoformat(line["at"]) for line in (first, last))
    return (ended - began) / timedelta(milliseconds=1)


def job_of(line):
    """Return the id of the job that a line is about, or an empty text."""
    return line.get("job") or _task_of(line).partition(".")[0]


def is_about(line, subject):
    """Tell whether a line is about a job, task or run."""
    if line.get("job") == subject.partition(".")[0]:
        return True
    task = _task_of(line)
    return task == subject or task.startswith(subject + ".")


def lacks_permission(line):
    """Tell whether a step that waits lacks its policy's permission rather than room."""
    return not line["with_ticket"]


def _task_of(line):
    return str(line.get("task", "") or line.get("step", ""))


def is_at_limit(wait):
    """Tell whether a step waited since its account had all running that it may."""
    return bool(wait.get("account")) and wait.get("account_allows") == 0


def is_beyond_share(wait):
    """Tell whether a step waited behind the shares of other accounts."""
    return bool(wait.get("beyond_share"))
