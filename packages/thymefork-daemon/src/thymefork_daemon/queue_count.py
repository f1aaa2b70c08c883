"""A queue's count of waiting jobs, added up over the cells."""

from thymefork_cells import effects as fx

__all__ = ["QueueCount"]


class QueueCount:
    """Add up the replies of all cells."""

    def __init__(self, *, cells, respond):
        self._cells = cells
        self._left = cells
        self._total = 0
        self._respond = respond
        self._refused = None

    def ask(self, gateway, queue, deadline_ms):
        """Ask each cell."""
        for cell in range(self._cells):
            gateway.request_at(cell, "count", queue, "", b"", deadline_ms, self._take)

    def _take(self, reply):
        self._left -= 1
        if reply.outcome == fx.Outcome.COUNTED:
            self._total += reply.count
        else:
            self._refused = reply
        if self._left:
            return
        if self._refused is not None:
            self._respond(self._refused)
            return
        outcome = fx.Outcome.COUNTED
        self._respond(fx.Reply(request_id=None, outcome=outcome, count=self._total))
