"""How long the store takes, and so how many appends of a cell may be under way."""

from loguru import logger

from thymefork_net import AdaptiveTimeout

__all__ = ["AppendWindow"]

# The store knows the last five numbers of a writer. With a repeat of the first beside
# three, a cell has no more calls open than repeats of a single append take.
MAX_IN_FLIGHT = 3
# A slow spell begins with this many, and goes by what a further one costs the others.
INITIAL_IN_FLIGHT = 2.0
# More is tried while fewer than these appends wait in the store for their turn, less
# once more do.
LOW_QUEUEING = 0.15
HIGH_QUEUEING = 0.35
INCREASE_STEP = 0.1
DECREASE_FACTOR = 0.8
# Less gains nothing: for the rest of the spell one is under way at a time.
MIN_OVERLAP = 1.25
# The time of an append alone is the shortest seen; it is forgotten by this an answer.
BASELINE_GROWTH = 1.003
# Ten times the usual append is slow, three times is quick again.
SLOW_THRESHOLD_MS = 100.0
FAST_THRESHOLD_MS = 30.0
INITIAL_APPEND_MS = 12.0
# An append without an answer is sent once more beside the first after this many times
# the usual time, within these bounds, and then after twice as long each time. The store
# does the same number only once, but takes its turn for each.
HEDGE_FACTOR = 4.0
MIN_HEDGE_DELAY_MS = 60.0
MAX_HEDGE_DELAY_MS = 800.0


class AppendWindow:
    """Let appends overlap while the store is slow, evenly spread; else one at a time.

    The store takes a partition's appends in turn, so overlapping gains what its answers
    take beside that turn; beyond it they only wait there, for each other. Spread, they
    seldom overtake each other on their connections, and records still go together.
    Calls are priced, and a quick store is not worth more of them.
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
    def patience_ms(self):
        """Return how long to wait before an append is sent once more."""
        return self._hedge_timeout.patience_ms

    @staticmethod
    def next_hedge_delay_ms(patience_ms):
        """Return how long to wait before it is sent still once more."""
        return min(MAX_HEDGE_DELAY_MS, 2 * patience_ms)

    def next_send_ms(self, in_flight):
        """Return when one more batch may leave, or None: only after an answer."""
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
        """Take note of a batch that leaves; count it, and log the first, if beside."""
        self._last_sent_ms = now_ms
        self._metrics.count("appends", str(in_flight + 1))
        if not in_flight:
            return
        if not self._overlapping_count:
            line = self._event_logger(
                "appends_overlap", alone_ms=round(self._baseline_ms)
            )
            line.info("the store is slow: appends are sent beside others")
        self._overlapping_count += 1

    def record_answer(self, took_ms, *, is_repeat):
        """Follow the store's time; log once when it becomes slow or quick again.

        A call that `is_repeat` another may be answered for it, and so too soon.
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
            line.info("one append at a time again")
        self._overlapping_count = 0
        self._baseline_ms = 0.0
        self._queueing_ms = 0.0
        self._target_in_flight = 1.0

    def _adapt_target(self, took_ms):
        """Follow how many gain time: what an append took above one alone, it waited."""
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
