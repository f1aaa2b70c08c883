"""Timing of a cell's scheduling cycles and appends."""

import math

from thymefork_net import steady_ms

from ..capacity import SheddableWork

__all__ = ["SchedulingLoop"]

# Delay between an append that the store rejected and the next one.
STORE_RETRY_DELAY_MS = 60.0
# Events within this time share a cycle, since a cycle considers all steps and workers,
# and a command takes 2 to 4 ms to be answered anyway.
CYCLE_DELAY_MS = 4.0
# Delay before the next cycle after a failed one.
FAILED_CYCLE_RETRY_DELAY_MS = 100.0
# Records that no caller waits for are delayed by this time, so that others share the
# append: the store bills by call. A worker with run ends that are not stored is not
# polled meanwhile, so that a further end there is received up to this much later.
LINGER_MS = 30.0


class SchedulingLoop:
    """Run a cell's cycles, execute its effects and store its records.

    Executing an effect may end the ownership and thereby the loop.
    `worker_list_as_of_ms()` is the time for which the worker list is known to be up to
    date; `advice_slots()` is how many advice calls may be made now, `stop_slots()` how
    many stops may be in flight; `load_monitor` records lag and duration of cycles and
    selects the work to shed.
    """

    def __init__(
        self,
        *,
        cell,
        ownership,
        pipeline,
        executor,
        timers,
        worker_list_as_of_ms,
        advice_slots=lambda: None,
        stop_slots=lambda: None,
        load_monitor=None,
    ):
        self._cell = cell
        self._ownership = ownership
        self._pipeline = pipeline
        self._executor = executor
        self._timers = timers
        self._worker_list_as_of_ms = worker_list_as_of_ms
        self._advice_slots = advice_slots
        self._stop_slots = stop_slots
        self._load_monitor = load_monitor
        self._ended = False
        self._cycle_timer = 0
        self._cycle_due_ms = 0.0
        self._store_retry_timer = 0
        self._linger_since_ms = 0.0

    def end(self):
        """Stop; the cell is no longer owned here."""
        self._ended = True
        self._timers.cancel(self._cycle_timer)

    def apply_effects(self):
        """Execute pending effects and schedule a cycle soon.

        Records wait for that cycle, so that the ends of a step and the starts of the
        next one share an append.
        """
        if self._ended:
            return
        self._execute_effects()
        self._schedule(min(self._cycle_due_ms, steady_ms() + CYCLE_DELAY_MS))

    def run_cycle(self):
        """Let the cell decide, execute its effects and store its records.

        Polls, leases and stops depend on cycles, so a failed one is followed by
        another; the exception propagates to the timers, which log it.
        """
        if self._ended:
            return
        now_ms = steady_ms()
        lag_ms = now_ms - self._cycle_due_ms if self._cycle_timer else 0.0
        self._cycle_timer = 0
        try:
            due_ms = self._decide(now_ms)
        except Exception:
            self._schedule(now_ms + FAILED_CYCLE_RETRY_DELAY_MS)
            raise
        if self._load_monitor is not None:
            busy_ms = steady_ms() - now_ms
            self._load_monitor.load.record_cycle(lag_ms=lag_ms, busy_ms=busy_ms)
        self._schedule(due_ms)

    def _decide(self, now_ms):
        self._cell.context.is_store_unavailable = not self._ownership.is_renewed()
        self._cell.context.worker_list_as_of_ms = self._worker_list_as_of_ms()
        self._cell.context.advice_slots = self._advice_slots()
        self._cell.context.stop_slots = self._stop_slots()
        if self._load_monitor is not None:
            sheds = self._load_monitor.load_shedder.sheds
            self._cell.context.defers_idle_polls = sheds(SheddableWork.IDLE_LOOKS)
            self._cell.context.defers_early_advice = sheds(SheddableWork.EARLY_ADVICE)
        due_ms = self._cell.run_cycle(now_ms)
        self._execute_effects()
        if self._may_linger(now_ms):
            return min(due_ms, self._linger_since_ms + LINGER_MS)
        return min(due_ms, self._store(now_ms))

    def _execute_effects(self):
        self._executor.execute(self._cell.take_effects())

    def _schedule(self, due_ms):
        if self._cycle_timer and due_ms == self._cycle_due_ms:
            return
        self._timers.cancel(self._cycle_timer)
        self._cycle_due_ms = due_ms
        self._cycle_timer = self._timers.at(due_ms, self.run_cycle)

    # Storing -----------------------------------------------------------------

    def _may_linger(self, now_ms):
        """Return whether the pending records may wait for others."""
        journal = self._cell.journal
        if journal.is_empty or journal.is_urgent or self._pipeline.is_store_unavailable:
            self._linger_since_ms = 0.0
            return False
        self._linger_since_ms = self._linger_since_ms or now_ms
        return now_ms - self._linger_since_ms < LINGER_MS

    def _store(self, now_ms):
        """Send pending records if the pipeline allows it; return when to try next."""
        if self._cell.journal.is_empty or self._ended or self._store_retry_timer:
            return math.inf
        next_send_ms = self._pipeline.next_send_ms
        if next_send_ms is None:
            return math.inf
        if next_send_ms > now_ms:
            return next_send_ms
        sent_ms = steady_ms()
        batch = self._cell.journal.take(sent_ms)
        self._pipeline.send(
            batch,
            lambda batch: self._on_stored(batch, sent_ms),
            self._on_not_stored,
            self._on_refused,
        )
        return math.inf

    def _on_stored(self, batch, sent_ms):
        if self._load_monitor is not None and batch.records:
            self._load_monitor.load.record_append(steady_ms() - sent_ms)
        self._cell.on_stored(batch)
        self._executor.execute(batch.effects)
        self.apply_effects()

    def _on_not_stored(self, batch):
        self._cell.on_not_stored(batch, now_ms=steady_ms())
        self._execute_effects()
        self._retry_later()

    def _on_refused(self, batch, *, to_blame):
        """Go on with other records at once, unless the store takes none."""
        now_ms = steady_ms()
        takes_others = self._cell.on_refused(batch, to_blame=to_blame, now_ms=now_ms)
        if takes_others:
            self.apply_effects()
            return
        self._pipeline.report_failing()
        self._execute_effects()
        self._retry_later()

    def _retry_later(self):
        if not self._store_retry_timer:
            self._store_retry_timer = self._timers.after(
                STORE_RETRY_DELAY_MS, self._retry_store
            )

    def _retry_store(self):
        self._store_retry_timer = 0
        if self._ended:
            return
        if self._cell.journal.is_empty:
            self._pipeline.reset_failure()
        self.apply_effects()
