"""Reservations for large jobs, with a deadline; smaller work fills in before it.

A home whose job has waited too long announces it in heartbeats. Until the deadline
owners of the hall start only work that should end by then, so that room gathers; for a
short while after it they start nothing but the job. The earliest announcement counts,
and it lapses by itself.
"""

from attrs import frozen

__all__ = ["Reservation", "Reservations"]

KEPT_FREE_MS = 2500


@frozen(kw_only=True)
class Reservation:
    """Hold an announcement.

    Units: `until_ms` is milliseconds since the epoch.
    """

    work_id: str
    until_ms: int


class Reservations:
    """Hold this instance's announcement and those that it has heard."""

    def __init__(self, *, context):
        self.ctx = context
        self.own = None
        self._heard = {}

    def announce(self, work_id):
        """Ask owners to gather room for a job; once until it lapses."""
        now_ms = self.ctx.now.wall_ms
        if self.own is not None and self.own.until_ms + KEPT_FREE_MS > now_ms:
            return
        until_ms = now_ms + self.ctx.limits.reserve_ms
        self.own = Reservation(work_id=work_id, until_ms=until_ms)

    def withdraw(self, work_id):
        """End the announcement of a job that runs or was closed."""
        if self.own is not None and self.own.work_id == work_id:
            self.own = None

    def hear(self, peer, work_id, until_ms):
        """Take what a peer's heartbeat says."""
        if work_id:
            self._heard[peer] = Reservation(work_id=work_id, until_ms=until_ms)
        else:
            self._heard.pop(peer, None)

    def current(self):
        """Return the announcement that counts now, or None."""
        now_ms = self.ctx.now.wall_ms
        known = [r for r in (self.own, *self._heard.values()) if r is not None]
        live = [r for r in known if r.until_ms + KEPT_FREE_MS > now_ms]
        return min(live, key=lambda r: (r.until_ms, r.work_id), default=None)

    def allow(self, spec):
        """Tell whether a task may start beside the announcement that counts."""
        held = self.current()
        if held is None or spec.urgent or held.work_id == spec.work_id:
            return True
        return bool(spec.run_ms) and self.ctx.now.wall_ms + spec.run_ms <= held.until_ms
