"""Store a cell's batches, each once and in their order, some under way together."""

from collections import deque

from loguru import logger

from thymefork_machines.store import AppendOutcome
from thymefork_net import steady_ms

from .append_call import AppendCall
from .append_window import AppendWindow
from .in_flight_append import InFlightAppend

__all__ = ["AppendPipeline"]

# An append that was turned away, or failed, is sent again after this long.
AGAIN_MS = 60.0
MOST_CALLS_OPEN = 4
# An append usually takes 10 ms. Once one has been under way for this long, the store
# counts as away: new work is refused rather than left in doubt. What is in doubt by
# then waits on, and its caller is told as soon as the append is answered: told
# "unknown" at once, callers would use up their tries before the store is back.
AWAY_MS = 1_000.0
# An append that has been under way for 40 times the usual time says that the store does
# not answer; an owner that stops keeps its cell then rather than lose what it heard.
UNANSWERED_MS = 400.0


class AppendPipeline:
    """Number batches one after the other and send them; take the answers as they come.

    The store takes a number only after the one before it, so an answer that tells of
    one tells of all before. What is done about a batch without a good answer is done
    for the first alone; those after it wait for it.
    """

    def __init__(
        self, *, partition, timers, metrics, last_sequence, may_write, on_ownership_lost
    ):
        self._partition = partition
        self._timers = timers
        self._metrics = metrics
        self._may_write = may_write
        self._on_lost = on_ownership_lost
        self._stored_number = last_sequence
        self._last_number = last_sequence
        self._flights = deque()
        self._window = AppendWindow(cell=partition.cell, metrics=metrics)
        self._first_since_ms = 0.0
        self._away_timer = 0
        self._failing = False
        self._ended = False

    # State -------------------------------------------------------------------

    @property
    def is_busy(self):
        """Tell whether an append is under way."""
        return bool(self._flights)

    @property
    def open_ms(self):
        """Return from when on a batch may be sent; None: not before an answer."""
        if self._flights and self._failing:
            return None
        calls = [flight.calls_open for flight in self._flights if flight.batch.records]
        if sum(calls) >= MOST_CALLS_OPEN or 0 in calls:
            return None
        return self._window.open_ms(len(self._flights))

    @property
    def is_answered(self):
        """Tell whether the store takes appends, as far as is known."""
        return not self._failing and self._silent_ms() < UNANSWERED_MS

    @property
    def is_store_unavailable(self):
        """Tell whether the store has not taken an append for too long."""
        return self._failing or self._silent_ms() >= AWAY_MS

    def _silent_ms(self):
        """Return for how long the first append has been the first."""
        return steady_ms() - self._first_since_ms if self._flights else 0.0

    def clear_failure(self):
        """Let the next request find out whether the store is back."""
        self._failing = False

    def end(self):
        """Stop: the cell is no longer ours."""
        self._ended = True

    def _event_logger(self, event, **fields):
        return logger.bind(event=event, cell=self._partition.cell, **fields)

    # Sending -----------------------------------------------------------------

    def send(self, batch, on_stored, on_not_stored):
        """Store a batch and then call `on_stored(batch)`, after those before it.

        `on_not_stored(batch)` takes it back where the store has certainly done nothing
        of it and all after it, the last first; the next batch then takes its number.
        """
        now_ms = steady_ms()
        # An append without records would take no number.
        self._last_number += bool(batch.records)
        flight = InFlightAppend(
            batch=batch,
            number=self._last_number,
            on_stored=on_stored,
            on_not_stored=on_not_stored,
            began_ms=now_ms,
            hedge_ms=self._window.patience_ms,
        )
        self._flights.append(flight)
        if self._is_first(flight):
            self._on_first(now_ms)
        if batch.records:
            self._window.note_sent(now_ms, under_way=len(self._flights) - 1)
            self._try(flight)
        elif self._is_first(flight):
            self._land()

    def _on_first(self, now_ms):
        """Follow for how long the first append waits; log once that it is too long."""
        self._first_since_ms = now_ms
        self._timers.cancel(self._away_timer)
        if self._flights:
            flight = self._flights[0]
            self._away_timer = self._timers.after(
                AWAY_MS, lambda: self._note_away(flight)
            )

    def _note_away(self, flight):
        if not self._is_first(flight):
            return
        records = sum(len(other.batch.records) for other in self._flights)
        line = self._event_logger(
            "store_silent", records=records, appends=len(self._flights)
        )
        line.info("an append is not answered")

    def _is_open(self, flight):
        return not self._ended and flight in self._flights

    def _is_first(self, flight):
        return not self._ended and bool(self._flights) and self._flights[0] is flight

    def _try(self, flight):
        if not self._is_open(flight):
            return
        if not self._may_write():
            self._again(flight)
            return
        call = AppendCall(
            sent_ms=steady_ms(),
            follows=self._is_first(flight),
            repeats=flight.has_call,
        )
        flight.has_call = True
        flight.calls_open += 1
        self._partition.append(
            records=flight.batch.records,
            sequence=flight.number,
            repeats=flight.calls_open > 1,
            on_result=lambda result: self._on_result(flight, result, call),
        )
        self._timers.after(flight.hedge_ms, lambda: self._hedge(flight))
        flight.hedge_ms = self._window.next_patience_ms(flight.hedge_ms)

    def _hedge(self, flight):
        """Send an append again that has no answer yet, unless one before it hasn't."""
        if not self._is_open(flight) or flight.calls_open == 0:
            return
        if not self._is_first(flight):
            flight.is_overdue = True
            return
        flight.in_doubt = True
        if sum(other.calls_open for other in self._flights) < MOST_CALLS_OPEN:
            self._metrics.count("retries", "append_unanswered")
            self._try(flight)

    def _again(self, flight):
        """Send the first append again soon; the others follow once it is stored."""
        if self._is_first(flight) and not flight.repeat_timer:
            flight.repeat_timer = self._timers.after(
                AGAIN_MS, lambda: self._repeat(flight)
            )

    def _repeat(self, flight):
        flight.repeat_timer = 0
        if flight.calls_open == 0:
            self._try(flight)

    # Answers -----------------------------------------------------------------

    def _on_result(self, flight, result, call):
        flight.calls_open -= 1
        if not self._is_open(flight):
            return
        self._metrics.count("store_calls", f"append_{result.outcome}")
        if result.outcome is AppendOutcome.STORED:
            self._window.note_answer(steady_ms() - call.sent_ms, repeats=call.repeats)
            self._on_stored(flight.number)
        elif result.outcome is AppendOutcome.OUT_OF_SEQUENCE:
            self._on_out_of_sequence(flight, result, call)
        elif result.outcome is AppendOutcome.NOT_STORED:
            self._on_turned_away(flight, result)
        elif result.outcome is AppendOutcome.UNKNOWN:
            flight.in_doubt = True
            self._retry(flight, "append_unknown")
        else:
            self._lose(result)

    def _on_out_of_sequence(self, flight, result, call):
        """Take it that all below the number that is wanted are stored.

        One that follows what is known to be stored can't come too early.
        """
        if call.follows and result.wanted_sequence <= flight.number:
            self._lose(result)
        elif result.wanted_sequence - 1 > self._stored_number:
            self._on_stored(result.wanted_sequence - 1)
        elif self._is_first(flight):
            self._metrics.count("retries", "append_too_early")
            self._repeat(flight)
        else:
            self._give_back_if_undone()

    def _on_turned_away(self, flight, result):
        if not self._failing:
            line = self._event_logger("store_turns_away")
            line.info("an append was not done: {}", result.error)
        self._failing = True
        flight.is_turned_away = self._is_first(flight)
        self._retry(flight, "append_not_stored")

    def _retry(self, flight, reason):
        """Give all back if that is certain; else repeat the first, if it is this."""
        self._metrics.count("retries", reason)
        if not self._give_back_if_undone() and flight.calls_open == 0:
            self._again(flight)

    def _lose(self, result):
        self._ended = True
        line = self._event_logger(
            "append_refused", epoch=self._partition.epoch, sequence=self._stored_number
        )
        line.warning("{} {}", result.outcome, result.error)
        self._on_lost(str(result.outcome))

    # Outcomes ----------------------------------------------------------------

    def _on_stored(self, number):
        """Take it that a number and all before it are stored."""
        self._failing = False
        self._stored_number = max(self._stored_number, number)
        self._land()

    def _land(self):
        """Tell of the batches that are stored, in order; then see to the others."""
        if self._ended:
            return
        if not self._flights or self._flights[0].number > self._stored_number:
            self._last_number = max(self._last_number, self._stored_number)
            self._see_to_first()
            return
        flight = self._flights.popleft()
        now_ms = steady_ms()
        self._on_first(now_ms)
        if flight.batch.records:
            self._metrics.observe("append", now_ms - flight.began_ms)
        try:
            flight.on_stored(flight.batch)
        finally:
            self._land()

    def _see_to_first(self):
        """Send what came too early or failed, now that what it follows is stored."""
        for flight in list(self._flights):
            if flight.calls_open == 0 and flight.batch.records:
                self._try(flight)
        if self._flights and self._flights[0].is_overdue:
            self._flights[0].is_overdue = False
            self._hedge(self._flights[0])

    def _give_back_if_undone(self):
        """Give all batches back, the last first, if the store has done none of them."""
        if not self._flights or not self._flights[0].is_turned_away:
            return False
        if not all(flight.is_undone for flight in self._flights):
            return False
        self._last_number = self._stored_number
        while self._flights:
            flight = self._flights.pop()
            flight.on_not_stored(flight.batch)
        return True
