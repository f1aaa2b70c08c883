"""Parsing of structured lines in saved logs."""

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
    """Return the structured lines of log files, ignoring any text before the JSON."""
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
                    continue  # truncated line
                if isinstance(line, dict) and "event" in line and "at" in line:
                    lines.append(line)
    return sorted(lines, key=lambda line: line["at"])


def lines_with(lines, *events):
    """Return the lines with one of the given events."""
    return [line for line in lines if line["event"] in events]


def ms_between(first, last):
    """Return the milliseconds between two lines by their timestamps."""
    began, ended = (datetime.fromisoformat(line["at"]) for line in (first, last))
    return (ended - began) / timedelta(milliseconds=1)


def job_of(line):
    """Return the id of the job that a line is about, empty if none."""
    return line.get("job") or _task_of(line).partition(".")[0]


def is_about(line, subject):
    """Return whether a line is about a job, task or run."""
    if line.get("job") == subject.partition(".")[0]:
        return True
    task = _task_of(line)
    return task == subject or task.startswith(subject + ".")


def lacks_permission(line):
    """Return whether a step waits for its policy's permission, not for capacity."""
    return not line["with_ticket"]


def _task_of(line):
    return str(line.get("task", "") or line.get("step", ""))


def is_at_limit(wait):
    """Return whether a step waited because its account was at its limit."""
    return bool(wait.get("account")) and wait.get("account_allows") == 0


def is_beyond_share(wait):
    """Return whether a step waited because its account was beyond its share."""
    return bool(wait.get("beyond_share"))
