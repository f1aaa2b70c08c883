"""The lines of saved logs about one job."""

from attrs import frozen

from ..log_lines import lines_with

__all__ = ["JobLines"]


@frozen(kw_only=True)
class JobLines:
    """Hold the lines about one job in time order."""

    job: str
    lines: list[dict]

    def with_event(self, *events):
        """Return the lines that tell of one of some events."""
        return lines_with(self.lines, *events)

    def last(self, event):
        """Return the last line that tells of an event, None if there is none."""
        lines = self.with_event(event)
        return lines[-1] if lines else None

    @property
    def first(self):
        """Return the first line."""
        return self.lines[0]

    @property
    def queue(self):
        """Return the queue's name, empty where no line tells it."""
        return next((line["queue"] for line in self.lines if line.get("queue")), "")

    @property
    def is_submitted(self):
        """Tell whether the lines tell of a job, not only of a question about one."""
        return any(
            line["event"] == "job_accepted" or line.get("kind") == "submit"
            for line in self.lines
        )

    @property
    def is_accepted(self):
        """Tell whether the job was accepted and that was not taken back."""
        decided = self.with_event("job_accepted", "job_withdrawn")
        return bool(decided) and decided[-1]["event"] == "job_accepted"
