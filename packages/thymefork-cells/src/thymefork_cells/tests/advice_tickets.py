"""Tickets of the advice service, as virtual workers check them."""

from attrs import frozen

__all__ = ["VALID_MS", "AdviceTickets"]

VALID_MS = 2_500.0


@frozen(kw_only=True)
class _Grant:
    """Hold for which step, worker incarnation and time a ticket is valid."""

    step: str
    incarnation: tuple
    until_ms: float


class AdviceTickets:
    """Issue tickets and tell whether a start carries a valid one.

    Tickets are valid for all tasks of a step, on one incarnation of a worker. Workers
    check them only if they `are_checked`.
    """

    def __init__(self, *, harness):
        self._harness = harness
        self._grants = {}  # by ticket
        self.are_checked = False

    def issue(self, step, worker_id):
        """Return a new ticket for a step on a worker's present incarnation."""
        ticket = f"t-{worker_id}-{len(self._grants)}"
        self._grants[ticket] = _Grant(
            step=step,
            incarnation=self._incarnation_of(self._harness.workers[worker_id]),
            until_ms=self._harness.now + VALID_MS,
        )
        return ticket

    def allow(self, worker, task, ticket):
        """Return whether a start of a task with this ticket is allowed now."""
        if not self.are_checked:
            return True
        grant = self._grants.get(ticket)
        return (
            grant is not None
            and task.startswith(f"{grant.step}.")
            and grant.incarnation == self._incarnation_of(worker)
            and self._harness.now < grant.until_ms
        )

    @staticmethod
    def _incarnation_of(worker):
        return (worker.worker_id, worker.born_epoch_ms)
