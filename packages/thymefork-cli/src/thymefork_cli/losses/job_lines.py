"""Log lines about one job."""

from attrs import frozen

from ..log_lines import lines_with

__all__ = ["JobLines"]


@frozen(kw_only=True)
class JobLines:
    """Hold the log lines about one job in time order."""

    job: str
    lines: list[dict]

    def with_event(self, *events):
        """Return the lines with one of the given events."""
        return lines_with(self.lines, *events)

    def last(self, event):
        """Return the last line with an event, None if there is none."""
        lines = self.with_event(event)
        return lines[-1] if lines else None

    @property
    def first(self):
        """Return the first line."""
        return self.lines[0]

    @property
    def queue(self):
        """Return the queue's name, empty if no line contains it."""
        return next((line["queue"] for line in self.lines if line.get("queue")), "")

    @property
    def is_submitted(self):
        """Return whether the job was submitted, not only queried."""
        return any(
            line["event"] == "job_accepted" or line.get("kind") == "submit"
            for line in self.lines
        )

    @property
    def is_accepted(self):
        """Return whether the job was accepted and not withdrawn since."""
        decided = self.with_event("job_accepted", "job_withdrawn")
        return bool(decided) and decided[-1]["event"] == "job_accepted"
