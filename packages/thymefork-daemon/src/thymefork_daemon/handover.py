"""Handover of cells to better placed members, by leaving the group."""

from loguru import logger

from thymefork_net import steady_ms

from .capacity import HandoverPolicy, LocalStatus
from .departure import MAX_STORE_WAIT_MS, RELEASE_POLL_MS, Departure
from .membership import SLOW_JOIN_MS

__all__ = ["Handover"]

CHECK_INTERVAL_MS = 100.0
# A join that the store carried out after the leave would assign cells to this instance
# again, so a pending join is awaited for this long.
MAX_JOIN_WAIT_MS = 200.0


class Handover:
    """Leave the group while other members are better owners.

    The standby joins again when this instance is needed.
    """

    def __init__(self, *, daemon, tier, address):
        self._daemon = daemon
        self._departure = Departure(daemon=daemon)
        self._policy = HandoverPolicy(tier=tier, address=str(address))
        self._reason = None
        self._started_ms = 0.0
        daemon.timers.every(CHECK_INTERVAL_MS, self._check)

    @property
    def cooldown_until_ms(self):
        """Return until when this instance should stay out of the group."""
        return self._policy.cooldown_until_ms

    def best_tier(self):
        """Return the best tier of all healthy members, or None if none is known."""
        return self._policy.best_tier(steady_ms(), self._statuses())

    def _statuses(self):
        return self._daemon.peers.member_statuses.statuses

    @property
    def is_in_progress(self):
        """Return whether this instance has decided to leave but not left yet."""
        return self._reason is not None

    def _check(self):
        self._record_known_tiers()
        self._policy.observe(steady_ms(), self._statuses())
        if not self._daemon.membership.in_group:
            return
        reason = self._policy.reason(
            steady_ms(), local=self._local_status(), statuses=self._statuses()
        )
        if reason is not None and not self.is_in_progress:
            self._begin(reason)

    def _local_status(self):
        daemon = self._daemon
        return LocalStatus(
            cells=daemon.layout.cells,
            owned=frozenset(daemon.owners),
            may_hand_over=self._may_hand_over(),
            serves=all(owner.is_serving for owner in daemon.owners.values()),
            load=daemon.owner_load.load,
        )

    def _record_known_tiers(self):
        """Record better tiers of new members, for the standby's decisions."""
        for status in self._statuses():
            for tier in (status.tier if status.can_own else None, status.best_tier):
                if tier is not None:
                    self._daemon.layout.add_tier(tier)

    def _may_hand_over(self):
        """Return whether the store takes appends and this instance is not stopping.

        Slow appends alone don't prevent a handover: an owner with a saturated link has
        them, too.
        """
        daemon = self._daemon
        if daemon.is_stopping or not daemon.membership.is_stable:
            return False
        if self._is_store_slow():
            return False
        return not any(owner.is_store_unavailable for owner in daemon.owners.values())

    def _is_store_slow(self):
        """Return whether the store is slow for all members.

        A takeover reads the whole cell and would take long then.
        """
        join_ms = self._daemon.peers.member_statuses.join_ms()
        if join_ms is None:
            join_ms = self._daemon.membership.round_trip_ms
        return join_ms >= SLOW_JOIN_MS

    def _begin(self, reason):
        self._reason, self._started_ms = reason, steady_ms()
        self._event_logger("handover_begins").info("handover begins: {}", reason)
        self._proceed()

    def _event_logger(self, event):
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
            lag=round(load.pressure.lag, 2),
            busy=round(load.pressure.busy, 2),
            append=round(load.pressure.append, 2),
        )

    def _proceed(self):
        """Leave once all records are stored, if the reason still holds."""
        if not self._is_still_valid():
            self._cancel()
        elif self._must_wait():
            self._daemon.timers.after(RELEASE_POLL_MS, self._proceed)
        else:
            self._leave()

    def _is_still_valid(self):
        return self._policy.is_still_valid(
            self._reason,
            steady_ms(),
            local=self._local_status(),
            statuses=self._statuses(),
        )

    def _cancel(self):
        self._daemon.metrics.count("owner_handovers_given_up", self._reason)
        message = "the reason for the handover no longer holds"
        if not self._may_hand_over():
            message = "the store is unavailable or this instance is stopping"
        self._event_logger("handover_given_up").info("{}", message)
        self._reason = None

    def _must_wait(self):
        elapsed_ms = steady_ms() - self._started_ms
        if elapsed_ms < MAX_STORE_WAIT_MS and self._departure.has_unstored_records:
            return True
        has_pending_join = self._daemon.membership.has_pending_join
        return has_pending_join and elapsed_ms < MAX_STORE_WAIT_MS + MAX_JOIN_WAIT_MS

    def _leave(self):
        reason, daemon = self._reason, self._daemon
        if daemon.owners:
            daemon.metrics.count("owner_handovers", reason)
            self._event_logger("handed_over").info("cells handed over: {}", reason)
        else:
            self._event_logger("stands_by_again").info("standing by: {}", reason)
        self._reason = None
        self._policy.on_left(steady_ms())
        daemon.standby.on_left()
        self._departure.leave(f"handed over: {reason}", permanent=False)
