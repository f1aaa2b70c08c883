"""One append of a cell at a time, stored once; what waits goes in the next one."""

from attrs import define
from loguru import logger

from thymefork_machines.store import AppendOutcome
from thymefork_net import AnswerPace, steady_ms

__all__ = ["AppendPump"]

# An append that was turned away, or failed, is sent again after this long.
AGAIN_MS = 60.0
# An append without an answer is sent once more beside the first after this many times
# the usual time, within these bounds, and then after twice as long each time. The store
# does the same number only once, but takes its turn for each.
HEDGE_FACTOR = 4.0
SHORTEST_HEDGE_MS = 60.0
LONGEST_HEDGE_MS = 800.0
MOST_TRIES_OPEN = 4
FIRST_APPEND_MS = 12.0
# An append usually takes 10 ms. Once one has been under way for this long, the store
# counts as away: new work is refused rather than left in doubt. What is in doubt by
# then waits on, and its caller is told as soon as the append is answered: callers that
# were told "unknown" at once came back within 0.2 s, had used up their tries by the
# time the store or another owner answered, and were lost (0.01 of a day's worth).
AWAY_MS = 1_000.0
# An append that has been under way for 40 times the usual time says that the store does
# not answer; an owner that stops keeps its cell then rather than lose what it heard.
UNANSWERED_MS = 400.0
# Ten times the usual append is slow, three times is quick again.
SLOW_MS = 100.0
QUICK_MS = 30.0


@define(kw_only=True, eq=False)
class _Flight:
    """Follow one batch; `in_doubt` tells that a try of it may yet be carried out."""

    batch: object
    on_stored: object
    on_not_stored: object
    began_ms: float
    hedge_ms: float
    away_timer: int = 0
    tries_open: int = 0
    in_doubt: bool = False


class AppendPump:
    """Store a journal's batches, each exactly once and in their order."""

    def __init__(
        self, *, partition, timers, metrics, last_sequence, may_write, on_lost
    ):
        self._partition = partition
        self._timers = timers
        self._metrics = metrics
        self._may_write = may_write
        self._on_lost = on_lost
        self._sequence = last_sequence
        self._flight = None
        self._pace = AnswerPace(
            first_ms=FIRST_APPEND_MS,
            factor=HEDGE_FACTOR,
            shortest_ms=SHORTEST_HEDGE_MS,
            longest_ms=LONGEST_HEDGE_MS,
        )
        self._failing = False
        self._slow = False
        self._ended = False

    @property
    def is_busy(self):
        """Tell whether an append is under way."""
        return self._flight is not None

    @property
    def is_answered(self):
        """Tell whether the store takes appends, as far as is known."""
        if self._failing:
            return False
        return not self.is_busy or steady_ms() - self._flight.began_ms < UNANSWERED_MS

    @property
    def store_is_away(self):
        """Tell whether the store has not taken an append for too long."""
        if self._failing:
            return True
        return self.is_busy and steady_ms() - self._flight.began_ms >= AWAY_MS

    def send(self, batch, on_stored, on_not_stored):
        """Store a batch and then call `on_stored(batch)`.

        `on_not_stored(batch)` takes it back where the store has certainly done
        nothing; the next batch then takes its number.
        """
        self._flight = flight = _Flight(
            batch=batch,
            on_stored=on_stored,
            on_not_stored=on_not_stored,
            began_ms=steady_ms(),
            hedge_ms=self._pace.patience_ms,
        )
        if batch.records:
            flight.away_timer = self._timers.after(
                AWAY_MS, lambda: self._note_away(flight)
            )
            self._try(flight)
        else:
            self._land()  # an append without records would take no number

    def _note_away(self, flight):
        """Log that the store counts as away, since it does not answer."""
        if not self._is_open(flight):
            return
        line = self._line("store_silent", records=len(flight.batch.records))
        line.info("an append is not answered")

    def clear_failure(self):
        """Let the next request find out whether the store is back."""
        self._failing = False

    def end(self):
        """Stop: the cell is no longer ours."""
        self._ended = True

    def _line(self, event, **fields):
        return logger.bind(event=event, cell=self._partition.cell, **fields)

    # Trying ------------------------------------------------------------------

    def _is_open(self, flight):
        return not self._ended and flight is self._flight

    def _try(self, flight):
        if not self._is_open(flight):
            return
        if not self._may_write():
            self._timers.after(AGAIN_MS, lambda: self._try(flight))
            return
        flight.tries_open += 1
        sent_ms = steady_ms()
        self._partition.append(
            records=flight.batch.records,
            sequence=self._sequence + 1,
            repeats=flight.tries_open > 1,
            on_result=lambda result: self._on_result(flight, result, sent_ms),
        )
        self._timers.after(flight.hedge_ms, lambda: self._hedge(flight))
        flight.hedge_ms = min(LONGEST_HEDGE_MS, 2 * flight.hedge_ms)

    def _hedge(self, flight):
        """Send an append again that has no answer yet."""
        if not self._is_open(flight) or flight.tries_open == 0:
            return
        flight.in_doubt = True
        if flight.tries_open < MOST_TRIES_OPEN:
            self._metrics.count("retries", "append_unanswered")
            self._try(flight)

    def _on_result(self, flight, result, sent_ms):
        flight.tries_open -= 1
        if not self._is_open(flight):
            return
        self._metrics.count("store_calls", f"append_{result.outcome}")
        stored_before = result.wanted_sequence > self._sequence + 1
        if result.outcome is AppendOutcome.STORED or stored_before:
            self._on_stored(sent_ms)
        elif result.outcome is AppendOutcome.NOT_STORED:
            self._on_turned_away(flight, result)
        elif result.outcome is AppendOutcome.UNKNOWN:
            flight.in_doubt = True
            self._again(flight, "append_unknown")
        else:
            self._lose(result)

    def _again(self, flight, reason):
        self._metrics.count("retries", reason)
        if flight.tries_open == 0:
            self._timers.after(AGAIN_MS, lambda: self._try(flight))

    def _lose(self, result):
        self._ended = True
        line = self._line(
            "append_refused", epoch=self._partition.epoch, sequence=self._sequence
        )
        line.warning("{} {}", result.outcome, result.error)
        self._on_lost(str(result.outcome))

    # Outcomes ----------------------------------------------------------------

    def _on_stored(self, sent_ms):
        self._sequence += 1
        self._failing = False
        self._note_pace(steady_ms() - sent_ms)
        self._metrics.observe("append", steady_ms() - self._flight.began_ms)
        self._land()

    def _land(self):
        flight, self._flight = self._flight, None
        self._timers.cancel(flight.away_timer)
        flight.on_stored(flight.batch)

    def _note_pace(self, took_ms):
        """Follow the usual time; log once when it becomes slow or quick again."""
        self._pace.answered(took_ms)
        was_slow = self._slow
        self._slow = took_ms > (QUICK_MS if was_slow else SLOW_MS)
        if self._slow != was_slow:
            event = "store_slow" if self._slow else "store_quick"
            line = self._line(event, took_ms=round(took_ms))
            line.info("an append took {:.0f} ms", took_ms)

    def _on_turned_away(self, flight, result):
        if not self._failing:
            line = self._line("store_turns_away")
            line.info("an append was not done: {}", result.error)
        self._failing = True
        self._metrics.count("retries", "append_not_stored")
        if flight.in_doubt or flight.tries_open:
            self._again(flight, "append_not_stored")
            return
        self._flight = None
        flight.on_not_stored(flight.batch)
