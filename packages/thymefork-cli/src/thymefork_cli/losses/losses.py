"""All losses of a set of logs, as a table and as JSON."""

from collections import Counter

from attrs import field, frozen

from .loss import Loss
from .outcome import Outcome

__all__ = ["Losses"]


@frozen(kw_only=True)
class Losses:
    """Hold all losses of a set of logs, and how many requests they are among.

    Of `unknown` requests the logs do not tell the end: lines were left out.
    """

    requests: int
    unknown: int = 0
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
        return {
            "requests": self.requests,
            "unknown": self.unknown,
            "by_cause": rows,
            "losses": items,
        }

    def text(self):
        """Return a table, one line a cause, queue and outcome."""
        lost = sum(item.outcome is Outcome.LOST for item in self.items)
        late = len(self.items) - lost
        lines = [f"{self.requests} requests, {lost} lost, {late} late"]
        if self.unknown:
            lines.append(f"{self.unknown} unknown: the logs leave out how they ended")
        for (cause, queue, outcome), count in self.counts():
            lines.append(f"{count:6d} {outcome:4} {queue:14} {cause}")
        return "\n".join(lines)
