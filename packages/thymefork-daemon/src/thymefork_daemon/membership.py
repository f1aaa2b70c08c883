"""This instance's place in the group that the cells are dealt to."""

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
# Joins this often leave room for one lost answer within the shortest membership (1 s).
JOIN_PERIOD_MS = 280.0
JOIN_RETRY_MS = 120.0
# A newcomer joins more often for a moment: after a loss of all instances each one that
# comes changes the deal, which the first has to take note of before it is complete.
SETTLING_PERIOD_MS = 60.0
SETTLING_MS = 1_000.0
# A join is answered in 5 to 7 ms; one without an answer by now is sent once more, so
# that several lost answers in a row do not end the membership.
HEDGE_MS = 90.0
# An instance that lets another one join first looks this often whether it has.
WAIT_POLL_MS = 40.0
# A newcomer waits for the answer to its first read, which takes 5 to 7 ms.
FIRST_WAIT_POLL_MS = 10.0
# Without an answered join for this long, the store counts as lost to this instance: a
# join that is due (280 ms) and two hedges of it, the second with 40 ms to spare.
STORE_LOST_MS = 500.0
# Joins that take longer than this say that the store is slow for all instances.
SLOW_JOIN_MS = 100.0
# A partition that was dealt under a generation already used is waited for this long:
# two joins, within which a stale answer is put right.
BLOCKED_TIMEOUT_MS = 600.0
# The store is away for all instances or for some. One whose joins were not answered
# until a moment ago can't tell which, and judges no owner for this long, within which
# the others' next joins and the beat that tells of them come: two hedged joins. Judged
# sooner, an owner that the outage is over for as well would be taken out.
STABLE_MS = 400.0


def address_of_member(member_id):
    """Return the address of the peers' listener that a member's id tells."""
    _, host, port, _ = member_id.split("|")
    return Address(host=host, port=int(port))


def is_member_id(text):
    """Tell whether a text is the id of an instance of ours; others may join, too."""
    parts = text.split("|") if isinstance(text, str) else ()
    return len(parts) == 4 and parts[2].isascii() and parts[2].isdigit()


class Membership:
    """Stay in the group; tell which cells are dealt to this instance.

    Validity is counted from the moment an answered join was sent, on the steady
    clock, so it never outlasts what the store grants; `renewed_ms` is the latest such
    moment, 0 before the first.
    """

    def __init__(self, *, store, timers, settings, life, on_change, must_wait):
        peer = settings.peer
        self.member_id = f"{settings.instance}|{peer.host}|{peer.port}|{life}"
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
        self._has_to_wait = must_wait
        self._notifier = ChangeNotifier(listener=on_change)
        self._left = False
        self._has_left_permanently = False
        self._pending_joins = set()
        self._is_answered = True

    def start(self):
        """Join, and go on joining; after a leave, as a newcomer.

        Who left for good does not come back: it serves nothing that is dealt to it.
        """
        if self._has_left_permanently:
            return
        self._timers.cancel(self._join_timer)
        if self._left:
            self._left = False
            self.renewed_ms = self.valid_until_ms = self._joined_ms = 0.0
            self._last_answered_ms = steady_ms()  # answers to joins of before are stale
        self._join()

    @property
    def round_trip_ms(self):
        """Return how long the last answered join took."""
        return self._round_trip_ms

    @property
    def in_group(self):
        """Tell whether this instance has joined and may be dealt cells."""
        return self.renewed_ms > 0 and not self._left

    @property
    def store_lost(self):
        """Tell whether this instance's joins are not granted any more."""
        # A slow store is not lost.
        patience_ms = STORE_LOST_MS + 2 * self._round_trip_ms
        return self.in_group and steady_ms() - self.renewed_ms > patience_ms

    @property
    def is_stable(self):
        """Tell whether the store has answered this instance for a while."""
        if not self.in_group or self.store_lost:
            return False
        return steady_ms() - self._recovered_ms >= STABLE_MS

    @property
    def is_healthy(self):
        """Tell whether the store answers this instance, quickly and for a while."""
        return self.is_stable and self._round_trip_ms < SLOW_JOIN_MS

    def join_now(self):
        """Join at once, since the group has probably changed."""
        if self._join_timer:
            self._timers.cancel(self._join_timer)
            self._join()

    def _join_after(self, delay_ms):
        self._join_timer = self._timers.after(delay_ms, self._join)

    def _join(self, *, is_repeat=False):
        self._join_timer = 0
        if self._left:
            return
        if (self.store_lost or not self.in_group) and self._has_to_wait():
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
        """Join once more beside a call that has no answer yet."""
        if self._last_sent_ms == sent_ms and self._last_answered_ms < sent_ms:
            self._timers.cancel(self._join_timer)
            self._join(is_repeat=True)

    def _on_result(self, call, result, sent_ms):
        self._pending_joins.discard(call)
        if not self._left:
            self._on_joined(result, sent_ms)
        elif result is not None:
            # The store may have carried it out after the leave.
            self._send_leave(lambda answer: None)

    def _on_joined(self, result, sent_ms):
        if sent_ms < self._last_answered_ms or (
            result is None and sent_ms < self._last_sent_ms
        ):
            return  # a later call was answered, or is under way
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
            # A second join with the new generation completes a change of hands.
            next_ms = 1.0
        self._join_after(next_ms)
        self._notifier.notify()

    def _period_ms(self):
        self._joined_ms = self._joined_ms or steady_ms()
        if steady_ms() - self._joined_ms < SETTLING_MS:
            return SETTLING_PERIOD_MS
        return JOIN_PERIOD_MS

    def _apply_assignment(self, result):
        dealt = {row.partition for row in result.partitions}
        for partition in set(self.epochs) - dealt:
            self._refused_epochs[partition] = self.epochs[partition]
        listed = {
            partition
            for partition in dealt
            if self._refused_epochs.get(partition, -1) < result.generation
        }
        self._rejoin_if_stuck(dealt - listed)
        epochs = {
            partition: self.epochs.get(partition, result.generation)
            for partition in sorted(listed)
        }
        if epochs != self.epochs:
            self.epochs = epochs
            self._notifier.mark_changed()

    def _rejoin_if_stuck(self, blocked):
        """Make the generation rise where a partition can't be taken under this one.

        An epoch belongs to one ownership. A partition that comes back within the same
        generation needs another, which leaving and joining brings.
        """
        if not blocked:
            self._blocked_since_ms = 0.0
            return
        self._blocked_since_ms = self._blocked_since_ms or steady_ms()
        if steady_ms() - self._blocked_since_ms < BLOCKED_TIMEOUT_MS:
            return
        self._blocked_since_ms = 0.0
        line = logger.bind(event="rejoining", generation=self.generation)
        line.info("partitions {} need a later generation", sorted(blocked))
        self._send_leave(lambda answer: self.join_now())

    def _log_reachability(self, *, answering):
        if answering == self._is_answered:
            return
        self._is_answered = answering
        event = "store_regained" if answering else "store_lost"
        line = logger.bind(event=event, generation=self.generation)
        line.info("joins are {}", "answered again" if answering else "not answered")

    def holds(self, partition, epoch, *, grace_ms=0.0):
        """Tell whether a partition is this instance's under an epoch, now."""
        if self.epochs.get(partition) != epoch:
            return False
        return steady_ms() < self.valid_until_ms + grace_ms

    def drop_partition(self, partition, epoch):
        """Drop one whose epoch was refused; a later generation may bring it back."""
        self._refused_epochs[partition] = max(
            epoch, self._refused_epochs.get(partition, -1)
        )
        self.epochs.pop(partition, None)
        self.join_now()

    @property
    def has_pending_join(self):
        """Tell whether a join has no answer yet; the store may still carry it out."""
        return bool(self._pending_joins)

    def leave(self, on_done, *, permanent=False):
        """Give all cells back at once."""
        self._left = True
        self._has_left_permanently = self._has_left_permanently or permanent
        self._refused_epochs.update(self.epochs)
        self.epochs = {}
        self._send_leave(on_done)

    def _send_leave(self, on_done):
        self._store.leave(group=GROUP, member_id=self.member_id, on_done=on_done)
