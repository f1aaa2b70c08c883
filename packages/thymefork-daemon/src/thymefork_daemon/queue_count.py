"""Count of a queue's waiting jobs over all cells."""

from thymefork_cells import effects as fx

__all__ = ["QueueCount"]


class QueueCount:
    """Sum the counts that all cells report."""

    def __init__(self, *, cells, respond):
        self._cells = cells
        self._replies_missing = cells
        self._total = 0
        self._respond = respond
        self._refused = None

    def ask(self, gateway, queue, deadline_ms):
        """Request the count of each cell."""
        for cell in range(self._cells):
            gateway.request_at(
                cell, "count", queue, "", b"", deadline_ms, self._on_reply
            )

    def _on_reply(self, reply):
        self._replies_missing -= 1
        if reply.outcome == fx.Outcome.COUNTED:
            self._total += reply.count
        else:
            self._refused = reply
        if self._replies_missing:
            return
        if self._refused is not None:
            self._respond(self._refused)
            return
        outcome = fx.Outcome.COUNTED
        self._respond(fx.Reply(reply_to=None, outcome=outcome, count=self._total))
