"""Giving cells to members that are better placed, by leaving the group for them."""

from loguru import logger

from thymefork_net import steady_ms

from .capacity import HandoverRule
from .membership import SLOW_JOIN_MS

__all__ = ["Handover"]

CHECK_MS = 100.0
# Two appends; a busy owner always has something to store, and tells what is left.
STORE_MOST_MS = 500.0
LEAVE_AGAIN_MS = 5.0
# The answer to a join that is under way: carried out after the leave, it would have
# this instance dealt a cell that it does not look after.
JOIN_MOST_MS = 200.0


class Handover:
    """Leave the group while others own better; the standby comes back when needed."""

    def __init__(self, *, daemon, tier):
        self._daemon = daemon
        self._rule = HandoverRule(tier=tier)
        self._reason = None
        self._began_ms = 0.0
        daemon.timers.every(CHECK_MS, self._check)

    @property
    def rest_until_ms(self):
        """Return until when this instance better stays out of the group."""
        return self._rule.rest_until_ms

    def best_tier(self):
        """Return the best tier among members that are well, as far as was heard."""
        return self._rule.best_tier(steady_ms(), self._statuses())

    def _statuses(self):
        return self._daemon.peers.members_heard.statuses

    def _check(self):
        daemon = self._daemon
        self._note_tiers()
        if self._reason is not None or not daemon.membership.in_group:
            return
        reason = self._rule.reason(
            steady_ms(),
            owns=bool(daemon.owners),
            is_well=self._is_well(),
            load=daemon.owner_load.load,
            statuses=self._statuses(),
        )
        if reason is not None:
            self._begin(reason)

    def _note_tiers(self):
        """Have the standby know of better tiers that came after this instance."""
        for status in self._statuses():
            for tier in (status.tier if status.can_own else None, status.best_tier):
                if tier is not None:
                    self._daemon.layout.note_tier(tier)

    def _is_well(self):
        """Tell whether the store answers and no takeover is under way.

        An owner whose link is full has slow appends, so slow ones don't hold it here.
        """
        daemon = self._daemon
        if daemon.is_stopping or not daemon.membership.is_settled:
            return False
        if self._store_is_slow():
            return False
        owners = daemon.owners.values()
        return all(owner.is_serving and not owner.store_is_away for owner in owners)

    def _store_is_slow(self):
        """Tell whether the store is slow for all, not for this instance alone.

        A takeover reads the whole cell, which takes long then.
        """
        join_ms = self._daemon.peers.members_heard.join_ms()
        if join_ms is None:
            join_ms = self._daemon.membership.round_trip_ms
        return join_ms >= SLOW_JOIN_MS

    def _begin(self, reason):
        self._reason, self._began_ms = reason, steady_ms()
        self._line("handover_begins").info("{}", reason)
        self._go_on()

    def _line(self, event):
        daemon = self._daemon
        load = daemon.owner_load.load
        best = self.best_tier()
        return logger.bind(
            event=event,
            reason=self._reason,
            owns=sorted(daemon.owners),
            tier=daemon.capacity.tier.name,
            best=best.name if best is not None else None,
            load_percent=load.percent,
            lag=round(load.last.lag, 2),
            busy=round(load.last.busy, 2),
            append=round(load.last.append, 2),
        )

    def _go_on(self):
        """Leave once all is stored; stay where the store went away meanwhile."""
        if not self._is_well():
            self._line("handover_given_up").info("the store went away, or this stops")
            self._reason = None
        elif self._has_to_wait():
            self._daemon.timers.after(LEAVE_AGAIN_MS, self._go_on)
        else:
            self._leave()

    def _has_to_wait(self):
        spent_ms = steady_ms() - self._began_ms
        owners = self._daemon.owners.values()
        if spent_ms < STORE_MOST_MS and any(owner.has_unstored for owner in owners):
            return True
        is_asking = self._daemon.membership.is_asking
        return is_asking and spent_ms < STORE_MOST_MS + JOIN_MOST_MS

    def _leave(self):
        daemon = self._daemon
        reason = self._reason
        daemon.metrics.count("owner_handovers", reason)
        self._line("handed_over").info("{}", reason)
        self._rule.on_left(steady_ms())
        for owner in list(daemon.owners.values()):
            owner.tell_ends()
            owner.end(f"handed over: {reason}")
        daemon.owners.clear()
        daemon.membership.leave(self._on_left)
        daemon.standby.on_left()
        self._reason = None

    def _on_left(self, answer):
        self._daemon.peers.send_heartbeats()
        self._daemon.directory.refresh()
