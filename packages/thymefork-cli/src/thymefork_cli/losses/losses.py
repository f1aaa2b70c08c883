"""The losses in a set of logs, as a table and as JSON."""

from collections import Counter

from attrs import field, frozen

from .loss import Loss
from .outcome import Outcome

__all__ = ["Losses"]


@frozen(kw_only=True)
class Losses:
    """Hold the losses in a set of logs and the total number of requests.

    `unknown` counts the requests whose outcome is missing from the logs.
    """

    requests: int
    unknown: int = 0
    items: tuple[Loss, ...] = field(default=())

    def counts(self):
        """Return the number of losses by cause, queue and outcome, largest first."""
        counts = Counter((item.cause, item.queue, item.outcome) for item in self.items)
        return sorted(counts.items(), key=lambda row: (-row[1], row[0]))

    def document(self):
        """Return the losses as a JSON document."""
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
        return {
            "requests": self.requests,
            "unknown": self.unknown,
            "by_cause": rows,
            "losses": items,
        }

    def text(self):
        """Return a table with one line for each cause, queue and outcome."""
        lost = sum(item.outcome is Outcome.LOST for item in self.items)
        late = len(self.items) - lost
        lines = [f"{self.requests} requests, {lost} lost, {late} late"]
        if self.unknown:
            lines.append(
                f"{self.unknown} unknown: their outcome is missing from the logs"
            )
        for (cause, queue, outcome), count in self.counts():
            lines.append(f"{count:6d} {outcome:4} {queue:14} {cause}")
        return "\n".join(lines)
