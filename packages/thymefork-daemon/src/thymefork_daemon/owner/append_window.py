"""How long the store takes, and so how many appends of a cell may be under way."""

from loguru import logger

from thymefork_net import AnswerPace

__all__ = ["AppendWindow"]

# The store knows the last five numbers of a writer. With a repeat of the first beside
# three, a cell has no more calls open than repeats of a single append take.
MOST_UNDER_WAY = 3
# A slow spell begins with this many, and goes by what a further one costs the others.
FIRST_UNDER_WAY = 2.0
# More is tried while fewer than these appends wait in the store for their turn, less
# once more do.
FEW_WAITING = 0.15
MANY_WAITING = 0.35
MORE_BY = 0.1
LESS_BY = 0.8
# Less gains nothing: for the rest of the spell one is under way at a time.
LEAST_OVERLAP = 1.25
# The time of an append alone is the shortest seen; it is forgotten by this an answer.
ALONE_GROWS = 1.003
# Ten times the usual append is slow, three times is quick again.
SLOW_MS = 100.0
QUICK_MS = 30.0
FIRST_APPEND_MS = 12.0
# An append without an answer is sent once more beside the first after this many times
# the usual time, within these bounds, and then after twice as long each time. The store
# does the same number only once, but takes its turn for each.
HEDGE_FACTOR = 4.0
SHORTEST_HEDGE_MS = 60.0
LONGEST_HEDGE_MS = 800.0


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
        self._pace = AnswerPace(
            first_ms=FIRST_APPEND_MS,
            factor=HEDGE_FACTOR,
            shortest_ms=SHORTEST_HEDGE_MS,
            longest_ms=LONGEST_HEDGE_MS,
        )
        self._is_slow = False
        self._alone_ms = 0.0
        self._aimed_at = 1.0
        self._waited_ms = 0.0
        self._sent_ms = 0.0
        self._beside_others = 0

    @property
    def patience_ms(self):
        """Return how long to wait before an append is sent once more."""
        return self._pace.patience_ms

    @staticmethod
    def next_patience_ms(patience_ms):
        """Return how long to wait before it is sent still once more."""
        return min(LONGEST_HEDGE_MS, 2 * patience_ms)

    def open_ms(self, under_way):
        """Return when one more batch may leave, or None: only after an answer."""
        if under_way == 0:
            return 0.0
        if not self._is_slow or under_way >= self._aimed_at:
            return None
        return self._sent_ms + self._alone_ms / self._aimed_at + self._waited_ms

    def note_sent(self, now_ms, *, under_way):
        """Take note of a batch that leaves; count it, and log the first, if beside."""
        self._sent_ms = now_ms
        self._metrics.count("appends", str(under_way + 1))
        if not under_way:
            return
        if not self._beside_others:
            line = self._event_logger("appends_overlap", alone_ms=round(self._alone_ms))
            line.info("the store is slow: appends are sent beside others")
        self._beside_others += 1

    def note_answer(self, took_ms, *, repeats):
        """Follow the store's time; log once when it becomes slow or quick again.

        A call that `repeats` another may be answered for it, and so too soon.
        """
        self._pace.answered(took_ms)
        was_slow = self._is_slow
        self._is_slow = took_ms > (QUICK_MS if was_slow else SLOW_MS)
        if self._is_slow != was_slow:
            self._turn_over(took_ms)
        if self._is_slow and not repeats:
            self._aim(took_ms)

    def _turn_over(self, took_ms):
        event = "store_slow" if self._is_slow else "store_quick"
        line = self._event_logger(event, took_ms=round(took_ms))
        line.info("an append took {:.0f} ms", took_ms)
        if self._beside_others:
            line = self._event_logger(
                "appends_in_turn", beside_others=self._beside_others
            )
            line.info("one append at a time again")
        self._beside_others = 0
        self._alone_ms = 0.0
        self._waited_ms = 0.0
        self._aimed_at = 1.0

    def _aim(self, took_ms):
        """Follow how many gain time: what an append took above one alone, it waited."""
        if not self._alone_ms:
            self._alone_ms = took_ms
            self._aimed_at = FIRST_UNDER_WAY
        self._alone_ms = min(took_ms, ALONE_GROWS * self._alone_ms)
        self._waited_ms = took_ms - self._alone_ms
        waiting = self._aimed_at * self._waited_ms / took_ms
        if waiting > MANY_WAITING:
            self._aimed_at *= LESS_BY
            if self._aimed_at < LEAST_OVERLAP:
                self._aimed_at = 1.0
        elif waiting < FEW_WAITING and self._aimed_at > 1.0:
            self._aimed_at = min(MOST_UNDER_WAY, self._aimed_at + MORE_BY)

    def _event_logger(self, event, **fields):
        return logger.bind(event=event, cell=self._cell, **fields)
