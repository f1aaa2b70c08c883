"""Number of concurrent appends of a cell, adapted to the store's latency."""

from loguru import logger

from thymefork_net import AdaptiveTimeout

__all__ = ["AppendWindow"]

# The store remembers the last five sequence numbers of a writer. Together with a hedge
# of the head this is within the limit of open calls.
MAX_IN_FLIGHT = 3
# Target at the start of a slow period.
INITIAL_IN_FLIGHT = 2.0
# Average number of appends queued in the store, below which the target rises and above
# which it falls.
LOW_QUEUEING = 0.15
HIGH_QUEUEING = 0.35
INCREASE_STEP = 0.1
DECREASE_FACTOR = 0.8
# Below this target, overlapping gains nothing and ends for the slow period.
MIN_OVERLAP = 1.25
# The baseline is the shortest append time; this growth per answer lets it follow a
# slower store.
BASELINE_GROWTH = 1.003
# Hysteresis between a slow and a fast store.
SLOW_THRESHOLD_MS = 100.0
FAST_THRESHOLD_MS = 30.0
INITIAL_APPEND_MS = 12.0
# The head is hedged after this many times the usual append time, within the bounds
# below, and then after twice the delay each time. The store deduplicates by sequence
# number but spends its time on each call.
HEDGE_FACTOR = 4.0
MIN_HEDGE_DELAY_MS = 60.0
MAX_HEDGE_DELAY_MS = 800.0


class AppendWindow:
    """Let appends overlap while the store is slow; otherwise send one at a time.

    The store processes the appends of a partition one after the other, so overlap only
    saves network latency; beyond that, appends queue in the store. Even spacing keeps
    them from overtaking each other and lets records share an append. Calls are billed,
    so a fast store is not worth more of them.
    """

    def __init__(self, *, cell, metrics):
        self._cell = cell
        self._metrics = metrics
        self._hedge_timeout = AdaptiveTimeout(
            initial_ms=INITIAL_APPEND_MS,
            factor=HEDGE_FACTOR,
            min_ms=MIN_HEDGE_DELAY_MS,
            max_ms=MAX_HEDGE_DELAY_MS,
        )
        self._is_slow = False
        self._baseline_ms = 0.0
        self._target_in_flight = 1.0
        self._queueing_ms = 0.0
        self._last_sent_ms = 0.0
        self._overlapping_count = 0

    @property
    def hedge_delay_ms(self):
        """Return the delay before an unanswered append is hedged."""
        return self._hedge_timeout.timeout_ms

    @staticmethod
    def next_hedge_delay_ms(hedge_delay_ms):
        """Return the delay before the next hedge."""
        return min(MAX_HEDGE_DELAY_MS, 2 * hedge_delay_ms)

    def next_send_ms(self, in_flight):
        """Return when another batch may be sent, or None if only after an answer."""
        if in_flight == 0:
            return 0.0
        if not self._is_slow or in_flight >= self._target_in_flight:
            return None
        return (
            self._last_sent_ms
            + self._baseline_ms / self._target_in_flight
            + self._queueing_ms
        )

    def record_sent(self, now_ms, *, in_flight):
        """Count a batch that is sent, and log the first one that overlaps another."""
        self._last_sent_ms = now_ms
        self._metrics.count("appends", str(in_flight + 1))
        if not in_flight:
            return
        if not self._overlapping_count:
            line = self._event_logger(
                "appends_overlap", alone_ms=round(self._baseline_ms)
            )
            line.info("the store is slow: appends overlap")
        self._overlapping_count += 1

    def record_answer(self, took_ms, *, is_repeat):
        """Update the append time; log when the store becomes slow or fast.

        A repeated call (`is_repeat`) may be answered early, for the call before it, so
        its time is not used for the target.
        """
        self._hedge_timeout.record_answer_time(took_ms)
        was_slow = self._is_slow
        self._is_slow = took_ms > (FAST_THRESHOLD_MS if was_slow else SLOW_THRESHOLD_MS)
        if self._is_slow != was_slow:
            self._on_speed_change(took_ms)
        if self._is_slow and not is_repeat:
            self._adapt_target(took_ms)

    def _on_speed_change(self, took_ms):
        event = "store_slow" if self._is_slow else "store_quick"
        line = self._event_logger(event, took_ms=round(took_ms))
        line.info("an append took {:.0f} ms", took_ms)
        if self._overlapping_count:
            line = self._event_logger(
                "appends_in_turn", beside_others=self._overlapping_count
            )
            line.info("appends are sent one at a time again")
        self._overlapping_count = 0
        self._baseline_ms = 0.0
        self._queueing_ms = 0.0
        self._target_in_flight = 1.0

    def _adapt_target(self, took_ms):
        """Adapt the target to the time that appends spend queued in the store."""
        if not self._baseline_ms:
            self._baseline_ms = took_ms
            self._target_in_flight = INITIAL_IN_FLIGHT
        self._baseline_ms = min(took_ms, BASELINE_GROWTH * self._baseline_ms)
        self._queueing_ms = took_ms - self._baseline_ms
        queueing = self._target_in_flight * self._queueing_ms / took_ms
        if queueing > HIGH_QUEUEING:
            self._target_in_flight *= DECREASE_FACTOR
            if self._target_in_flight < MIN_OVERLAP:
                self._target_in_flight = 1.0
        elif queueing < LOW_QUEUEING and self._target_in_flight > 1.0:
            self._target_in_flight = min(
                MAX_IN_FLIGHT, self._target_in_flight + INCREASE_STEP
            )

    def _event_logger(self, event, **fields):
        return logger.bind(event=event, cell=self._cell, **fields)
