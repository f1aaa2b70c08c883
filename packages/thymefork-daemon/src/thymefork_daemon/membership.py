"""This instance's membership in the group that the cells are assigned to."""

from loguru import logger

from thymefork_net import Address, steady_ms

from .change_notifier import ChangeNotifier

__all__ = [
    "CELLS_TOPIC",
    "GROUP",
    "SLOW_JOIN_MS",
    "Membership",
    "address_of_member",
    "is_member_id",
]

GROUP = "cells"
CELLS_TOPIC = "keyed.cells"
# Leaves room for one lost answer within the shortest membership (1 s).
JOIN_PERIOD_MS = 280.0
JOIN_RETRY_MS = 120.0
# A new member joins more often at first: after all instances were lost, each one that
# returns changes the assignment, and the first has to confirm every change.
INITIAL_JOIN_PERIOD_MS = 60.0
INITIAL_PHASE_MS = 1_000.0
# A join is answered in 5 to 7 ms. One without an answer is sent once more after this
# time, so that several lost answers in a row do not end the membership.
HEDGE_MS = 90.0
# Poll period while another instance has to join first.
WAIT_POLL_MS = 40.0
# Poll period of a new member until its first read of the store, which takes 5 to 7 ms,
# is answered.
FIRST_WAIT_POLL_MS = 10.0
# Without an answered join for this long, the store counts as lost to this instance: one
# regular join (280 ms) and two hedged ones, the second with 40 ms to spare.
STORE_LOST_MS = 500.0
# A slower join indicates that the store is slow for all instances.
SLOW_JOIN_MS = 100.0
# How long a partition that was assigned again under a used generation is waited for:
# two joins, within which an outdated answer is corrected.
BLOCKED_TIMEOUT_MS = 600.0
# After an outage, a member evicts no owner for this long: two hedged joins, within
# which the other members' joins and heartbeats arrive. Sooner, it would evict owners
# that are about to recover from the same outage.
STABLE_MS = 400.0


def address_of_member(member_id):
    """Return the address of a member's peer listener."""
    _, host, port, _ = member_id.split("|")
    return Address(host=host, port=int(port))


def is_member_id(text):
    """Return whether a text is the member id of an instance; others may join too."""
    parts = text.split("|") if isinstance(text, str) else ()
    return len(parts) == 4 and parts[2].isascii() and parts[2].isdigit()


class Membership:
    """Renew the membership and track which partitions are assigned to this instance.

    Validity counts from the time on the steady clock at which an answered join was
    sent, so it never outlasts what the store grants; `renewed_ms` is the latest such
    time, 0 before the first.
    """

    def __init__(self, *, store, timers, settings, incarnation, on_change, must_wait):
        peer = settings.peer
        self.member_id = f"{settings.instance}|{peer.host}|{peer.port}|{incarnation}"
        self.ttl_ms = float(settings.store.min_membership_ms)
        self.generation = 0
        self.epochs = {}
        self.valid_until_ms = 0.0
        self._last_sent_ms = 0.0
        self._last_answered_ms = 0.0
        self._joined_ms = 0.0
        self.renewed_ms = 0.0
        self._recovered_ms = 0.0
        self._round_trip_ms = 0.0
        self._refused_epochs = {}
        self._blocked_since_ms = 0.0
        self._join_timer = 0
        self._store = store
        self._timers = timers
        self._must_wait = must_wait
        self._notifier = ChangeNotifier(listener=on_change)
        self._has_left = False
        self._has_left_permanently = False
        self._pending_joins = set()
        self._is_store_answering = True

    def start(self):
        """Join and keep renewing; after a leave, join as a new member.

        An instance that left permanently never rejoins.
        """
        if self._has_left_permanently:
            return
        self._timers.cancel(self._join_timer)
        if self._has_left:
            self._has_left = False
            self.renewed_ms = self.valid_until_ms = self._joined_ms = 0.0
            self._last_answered_ms = steady_ms()  # ignores answers to earlier joins
        self._join()

    @property
    def round_trip_ms(self):
        """Return how long the last answered join took."""
        return self._round_trip_ms

    @property
    def in_group(self):
        """Return whether this instance is a member and may be assigned cells."""
        return self.renewed_ms > 0 and not self._has_left

    @property
    def store_lost(self):
        """Return whether this instance's joins are no longer answered."""
        # A slow store does not count as lost.
        timeout_ms = STORE_LOST_MS + 2 * self._round_trip_ms
        return self.in_group and steady_ms() - self.renewed_ms > timeout_ms

    @property
    def is_stable(self):
        """Return whether the store has answered this instance for a while."""
        if not self.in_group or self.store_lost:
            return False
        return steady_ms() - self._recovered_ms >= STABLE_MS

    @property
    def is_healthy(self):
        """Return whether the store has answered quickly and for a while."""
        return self.is_stable and self._round_trip_ms < SLOW_JOIN_MS

    def join_now(self):
        """Join at once, because the group has probably changed."""
        if self._join_timer:
            self._timers.cancel(self._join_timer)
            self._join()

    def _join_after(self, delay_ms):
        self._join_timer = self._timers.after(delay_ms, self._join)

    def _join(self, *, is_repeat=False):
        self._join_timer = 0
        if self._has_left:
            return
        if (self.store_lost or not self.in_group) and self._must_wait():
            self._join_after(WAIT_POLL_MS if self.in_group else FIRST_WAIT_POLL_MS)
            return
        sent_ms = steady_ms()
        self._last_sent_ms = sent_ms
        self._timers.after(HEDGE_MS, lambda: self._hedge(sent_ms))
        call = object()
        self._pending_joins.add(call)
        self._store.join(
            group=GROUP,
            member_id=self.member_id,
            topic=CELLS_TOPIC,
            ttl_ms=int(self.ttl_ms),
            generation=self.generation,
            is_repeat=is_repeat,
            on_result=lambda result: self._on_result(call, result, sent_ms),
        )

    def _hedge(self, sent_ms):
        """Send a second join beside one that has no answer yet."""
        if self._last_sent_ms == sent_ms and self._last_answered_ms < sent_ms:
            self._timers.cancel(self._join_timer)
            self._join(is_repeat=True)

    def _on_result(self, call, result, sent_ms):
        self._pending_joins.discard(call)
        if not self._has_left:
            self._on_joined(result, sent_ms)
        elif result is not None:
            # The store may have carried the join out after the leave.
            self._send_leave(lambda answer: None)

    def _on_joined(self, result, sent_ms):
        if sent_ms < self._last_answered_ms or (
            result is None and sent_ms < self._last_sent_ms
        ):
            return  # a later join was answered or is pending
        self._last_answered_ms = max(self._last_answered_ms, sent_ms)
        self._timers.cancel(self._join_timer)
        if result is None:
            self._log_reachability(answering=False)
            self._join_after(JOIN_RETRY_MS)
            return
        self._log_reachability(answering=True)
        if self.store_lost:
            self._recovered_ms = steady_ms()
        self.renewed_ms = max(self.renewed_ms, sent_ms)
        self._round_trip_ms = steady_ms() - sent_ms
        next_ms = max(1.0, sent_ms + self._period_ms() - steady_ms())
        self.valid_until_ms = max(self.valid_until_ms, sent_ms + self.ttl_ms)
        changed = result.generation != self.generation
        self.generation = result.generation
        self._apply_assignment(result)
        if changed:
            # A second join under the new generation completes the reassignment.
            next_ms = 1.0
        self._join_after(next_ms)
        self._notifier.notify()

    def _period_ms(self):
        self._joined_ms = self._joined_ms or steady_ms()
        if steady_ms() - self._joined_ms < INITIAL_PHASE_MS:
            return INITIAL_JOIN_PERIOD_MS
        return JOIN_PERIOD_MS

    def _apply_assignment(self, result):
        assigned = {row.partition for row in result.partitions}
        for partition in set(self.epochs) - assigned:
            self._refused_epochs[partition] = self.epochs[partition]
        accepted = {
            partition
            for partition in assigned
            if self._refused_epochs.get(partition, -1) < result.generation
        }
        self._rejoin_if_blocked(assigned - accepted)
        epochs = {
            partition: self.epochs.get(partition, result.generation)
            for partition in sorted(accepted)
        }
        if epochs != self.epochs:
            self.epochs = epochs
            self._notifier.mark_changed()

    def _rejoin_if_blocked(self, blocked):
        """Rejoin if a partition cannot be taken under the current generation.

        An epoch identifies one ownership. A partition that returns within the same
        generation needs another epoch, which leaving and joining provides.
        """
        if not blocked:
            self._blocked_since_ms = 0.0
            return
        self._blocked_since_ms = self._blocked_since_ms or steady_ms()
        if steady_ms() - self._blocked_since_ms < BLOCKED_TIMEOUT_MS:
            return
        self._blocked_since_ms = 0.0
        line = logger.bind(event="rejoining", generation=self.generation)
        line.info("rejoining: partitions {} need a later generation", sorted(blocked))
        self._send_leave(lambda answer: self.join_now())

    def _log_reachability(self, *, answering):
        if answering == self._is_store_answering:
            return
        self._is_store_answering = answering
        event = "store_regained" if answering else "store_lost"
        line = logger.bind(event=event, generation=self.generation)
        line.info("store {} joins", "answers" if answering else "does not answer")

    def holds(self, partition, epoch, *, grace_ms=0.0):
        """Return whether this instance holds a partition under an epoch now."""
        if self.epochs.get(partition) != epoch:
            return False
        return steady_ms() < self.valid_until_ms + grace_ms

    def drop_partition(self, partition, epoch):
        """Drop a partition whose epoch was fenced, until a later generation."""
        self._refused_epochs[partition] = max(
            epoch, self._refused_epochs.get(partition, -1)
        )
        self.epochs.pop(partition, None)
        self.join_now()

    @property
    def has_pending_join(self):
        """Return whether a join has no answer yet; the store may still execute it."""
        return bool(self._pending_joins)

    def leave(self, on_done, *, permanent=False):
        """Release all partitions and leave the group."""
        self._has_left = True
        self._has_left_permanently = self._has_left_permanently or permanent
        self._refused_epochs.update(self.epochs)
        self.epochs = {}
        self._send_leave(on_done)

    def _send_leave(self, on_done):
        self._store.leave(group=GROUP, member_id=self.member_id, on_done=on_done)
