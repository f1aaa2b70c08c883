"""Ordered, exactly-once appends of a cell's batches, several in flight at a time."""

from collections import deque

from loguru import logger

from thymefork_machines.store import AppendOutcome
from thymefork_net import steady_ms

from .append_call import AppendCall
from .append_window import AppendWindow
from .in_flight_append import InFlightAppend

__all__ = ["AppendPipeline"]

# Delay before an append that failed or was rejected is sent again.
RETRY_DELAY_MS = 60.0
MAX_OPEN_CALLS = 4
# An append usually takes 10 ms. One unanswered for this long counts as a store outage,
# and new requests are refused. Appends in flight keep waiting, and their callers are
# told the outcome: after an early "unknown" they would use up their retries before the
# store is back.
UNAVAILABLE_AFTER_MS = 1_000.0
# An owner that stops keeps its cell while an append is unanswered for this long,
# 40 times the usual time: otherwise run ends that are not stored would be lost.
UNRESPONSIVE_AFTER_MS = 400.0


class AppendPipeline:
    """Assign sequence numbers to batches, send them and process the answers.

    The store accepts a sequence number only after the one before it, so an answer for
    one confirms all earlier ones. Only the head of the queue is retried; later batches
    wait for it.
    """

    def __init__(
        self, *, partition, timers, metrics, last_sequence, may_write, on_ownership_lost
    ):
        self._partition = partition
        self._timers = timers
        self._metrics = metrics
        self._may_write = may_write
        self._on_ownership_lost = on_ownership_lost
        self._stored_sequence = last_sequence
        self._last_sequence = last_sequence
        self._in_flight = deque()
        self._window = AppendWindow(cell=partition.cell, metrics=metrics)
        self._head_since_ms = 0.0
        self._unresponsive_timer = 0
        self._is_failing = False
        self._ended = False

    # State -------------------------------------------------------------------

    @property
    def is_busy(self):
        """Return whether an append is in flight."""
        return bool(self._in_flight)

    @property
    def next_send_ms(self):
        """Return when a batch may be sent, or None if only after an answer."""
        if self._in_flight and self._is_failing:
            return None
        calls = [
            pending.open_calls for pending in self._in_flight if pending.batch.records
        ]
        if sum(calls) >= MAX_OPEN_CALLS or 0 in calls:
            return None
        return self._window.next_send_ms(len(self._in_flight))

    @property
    def is_store_responding(self):
        """Return whether the store answers appends, as far as known here."""
        return not self._is_failing and self._head_wait_ms() < UNRESPONSIVE_AFTER_MS

    @property
    def is_store_unavailable(self):
        """Return whether the store has failed to take an append for too long."""
        return self._is_failing or self._head_wait_ms() >= UNAVAILABLE_AFTER_MS

    def _head_wait_ms(self):
        """Return for how long the head of the queue has been the head."""
        return steady_ms() - self._head_since_ms if self._in_flight else 0.0

    def reset_failure(self):
        """Let the next request find out whether the store is available."""
        self._is_failing = False

    def end(self):
        """Stop; the cell is no longer owned here."""
        self._ended = True

    def _event_logger(self, event, **fields):
        return logger.bind(event=event, cell=self._partition.cell, **fields)

    # Sending -----------------------------------------------------------------

    def send(self, batch, on_stored, on_not_stored, on_refused=None):
        """Store a batch, and then call `on_stored(batch)`, in the order of sending.

        `on_not_stored(batch)` is called instead if the store has certainly stored
        neither this batch nor any later one; the last batch is returned first, and the
        sequence numbers are used again. If the store will never take the first of them
        as it is, `on_refused(batch, to_blame=...)` is called instead.
        """
        now_ms = steady_ms()
        # An append without records has no sequence number of its own.
        self._last_sequence += bool(batch.records)
        pending = InFlightAppend(
            batch=batch,
            sequence=self._last_sequence,
            on_stored=on_stored,
            on_not_stored=on_not_stored,
            on_refused=on_refused,
            started_ms=now_ms,
            hedge_delay_ms=self._window.hedge_delay_ms,
        )
        self._in_flight.append(pending)
        if self._is_head(pending):
            self._on_new_head(now_ms)
        if batch.records:
            self._window.record_sent(now_ms, in_flight=len(self._in_flight) - 1)
            self._send_call(pending)
        elif self._is_head(pending):
            self._deliver_stored()

    def _on_new_head(self, now_ms):
        """Start measuring how long the head of the queue waits."""
        self._head_since_ms = now_ms
        self._timers.cancel(self._unresponsive_timer)
        if self._in_flight:
            pending = self._in_flight[0]
            self._unresponsive_timer = self._timers.after(
                UNAVAILABLE_AFTER_MS, lambda: self._log_unresponsive(pending)
            )

    def _log_unresponsive(self, pending):
        if not self._is_head(pending):
            return
        records = sum(len(other.batch.records) for other in self._in_flight)
        line = self._event_logger(
            "store_silent", records=records, appends=len(self._in_flight)
        )
        line.info("the store has not answered an append in time")

    def _is_pending(self, pending):
        return not self._ended and pending in self._in_flight

    def _is_head(self, pending):
        return (
            not self._ended and bool(self._in_flight) and self._in_flight[0] is pending
        )

    def _send_call(self, pending):
        if not self._is_pending(pending):
            return
        if not self._may_write():
            self._schedule_resend(pending)
            return
        call = AppendCall(
            sent_ms=steady_ms(),
            was_head=self._is_head(pending),
            is_repeat=pending.was_sent,
        )
        pending.was_sent = True
        pending.open_calls += 1
        self._partition.append(
            records=pending.batch.records,
            sequence=pending.sequence,
            is_repeat=pending.open_calls > 1,
            on_result=lambda result: self._on_result(pending, result, call),
        )
        self._timers.after(pending.hedge_delay_ms, lambda: self._hedge(pending))
        pending.hedge_delay_ms = self._window.next_hedge_delay_ms(
            pending.hedge_delay_ms
        )

    def _hedge(self, pending):
        """Send another call for an unanswered append, but only at the head."""
        if not self._is_pending(pending) or pending.open_calls == 0:
            return
        if not self._is_head(pending):
            pending.is_overdue = True
            return
        pending.is_outcome_unknown = True
        if sum(other.open_calls for other in self._in_flight) < MAX_OPEN_CALLS:
            self._metrics.count("retries", "append_unanswered")
            self._send_call(pending)

    def _schedule_resend(self, pending):
        """Send the head again after a delay; later batches follow once it is stored."""
        if self._is_head(pending) and not pending.retry_timer:
            pending.retry_timer = self._timers.after(
                RETRY_DELAY_MS, lambda: self._resend(pending)
            )

    def _resend(self, pending):
        pending.retry_timer = 0
        if pending.open_calls == 0:
            self._send_call(pending)

    # Answers -----------------------------------------------------------------

    def _on_result(self, pending, result, call):
        pending.open_calls -= 1
        if not self._is_pending(pending):
            return
        self._metrics.count("store_calls", f"append_{result.outcome}")
        if result.outcome is AppendOutcome.STORED:
            self._window.record_answer(
                steady_ms() - call.sent_ms, is_repeat=call.is_repeat
            )
            self._on_stored(pending.sequence)
        elif result.outcome is AppendOutcome.OUT_OF_SEQUENCE:
            self._on_out_of_sequence(pending, result, call)
        elif result.outcome is AppendOutcome.NOT_STORED:
            self._on_not_stored_answer(pending, result)
        elif result.outcome is AppendOutcome.REFUSED:
            self._on_refused_answer(pending, result)
        elif result.outcome is AppendOutcome.UNKNOWN:
            pending.is_outcome_unknown = True
            self._return_or_resend(pending, "append_unknown")
        else:
            self._on_superseded(result)

    def _on_out_of_sequence(self, pending, result, call):
        """Treat all sequence numbers below the wanted one as stored.

        A batch that was sent after all earlier ones were stored can't be too early, so
        the cell has another owner then.
        """
        if call.was_head and result.expected_sequence <= pending.sequence:
            self._on_superseded(result)
        elif result.expected_sequence - 1 > self._stored_sequence:
            self._on_stored(result.expected_sequence - 1)
        elif self._is_head(pending):
            self._metrics.count("retries", "append_too_early")
            self._resend(pending)
        else:
            self._return_if_not_stored()

    def _on_not_stored_answer(self, pending, result):
        if not self._is_failing:
            line = self._event_logger("store_turns_away")
            line.info("the store rejected an append: {}", result.error)
        self._is_failing = True
        pending.is_rejected = self._is_head(pending)
        self._return_or_resend(pending, "append_not_stored")

    def _on_refused_answer(self, pending, result):
        """Return what the store will not take; other appends may go on.

        An earlier call of the same content that got no answer is refused as well.
        """
        if self._is_head(pending):
            line = self._event_logger("append_not_taken", **_batch_fields(pending))
            line.warning("the store refuses an append for good: {}", result.error)
            pending.is_rejected = pending.is_refused = True
            pending.is_outcome_unknown = False
        self._return_or_resend(pending, "append_refused")

    def report_failing(self):
        """Take the store for unavailable, since it takes nothing."""
        self._is_failing = True

    def _return_or_resend(self, pending, reason):
        """Return all batches if certainly not stored, else send the head again."""
        self._metrics.count("retries", reason)
        if not self._return_if_not_stored() and pending.open_calls == 0:
            self._schedule_resend(pending)

    def _on_superseded(self, result):
        self._ended = True
        line = self._event_logger(
            "append_refused",
            epoch=self._partition.epoch,
            sequence=self._stored_sequence,
        )
        line.warning(
            "ownership lost, the store refused an append: {} {}",
            result.outcome,
            result.error,
        )
        self._on_ownership_lost(str(result.outcome))

    # Outcomes ----------------------------------------------------------------

    def _on_stored(self, sequence):
        """Treat a sequence number and all before it as stored."""
        self._is_failing = False
        self._stored_sequence = max(self._stored_sequence, sequence)
        self._deliver_stored()

    def _deliver_stored(self):
        """Report stored batches in order, then go on with the others."""
        if self._ended:
            return
        if not self._in_flight or self._in_flight[0].sequence > self._stored_sequence:
            self._last_sequence = max(self._last_sequence, self._stored_sequence)
            self._resume_sending()
            return
        pending = self._in_flight.popleft()
        now_ms = steady_ms()
        self._on_new_head(now_ms)
        if pending.batch.records:
            self._metrics.observe("append", now_ms - pending.started_ms)
        try:
            pending.on_stored(pending.batch)
        finally:
            self._deliver_stored()

    def _resume_sending(self):
        """Send batches that were early or failed, now that the head has changed."""
        for pending in list(self._in_flight):
            if pending.open_calls == 0 and pending.batch.records:
                self._send_call(pending)
        if self._in_flight and self._in_flight[0].is_overdue:
            self._in_flight[0].is_overdue = False
            self._hedge(self._in_flight[0])

    def _return_if_not_stored(self):
        """Return all batches, the last first, if certainly none was stored."""
        if not self._in_flight or not self._in_flight[0].is_rejected:
            return False
        if not all(pending.is_certainly_not_stored for pending in self._in_flight):
            return False
        self._last_sequence = self._stored_sequence
        is_refused = self._in_flight[0].is_refused
        while self._in_flight:
            pending = self._in_flight.pop()
            if is_refused:
                pending.on_refused(pending.batch, to_blame=not self._in_flight)
            else:
                pending.on_not_stored(pending.batch)
        return True


def _batch_fields(pending):
    """Return log fields of a batch."""
    sizes = [len(key) + len(value) for key, value in pending.batch.records]
    return {
        "records": len(sizes),
        "batch_bytes": sum(sizes),
        "largest_record_bytes": max(sizes, default=0),
    }
