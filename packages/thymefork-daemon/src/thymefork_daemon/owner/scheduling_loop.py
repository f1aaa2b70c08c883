"""When a cell decides, and when what it decided is stored."""

import math

from thymefork_net import steady_ms

from ..capacity import SheddableWork

__all__ = ["SchedulingLoop"]

# After an append that the store turned away, the next one follows this soon.
STORE_RETRY_DELAY_MS = 60.0
# Events that come within this time are decided on together: planning looks over all
# live steps and workers, and an order takes 2 to 4 ms to be answered anyway.
CYCLE_DELAY_MS = 4.0
# After a turn that failed, the next one follows this soon: as often as a cell looks its
# runs over anyway.
FAILED_CYCLE_RETRY_DELAY_MS = 100.0
# Records that nobody waits for are held this long for others to go along: an append is
# priced by the call. Meanwhile a worker whose ends are not stored yet is not looked at,
# so that a further end there is heard up to this much later; a short job has 500 ms to
# spare.
LINGER_MS = 30.0


class SchedulingLoop:
    """Let a cell take its turns; perform its effects and store its records.

    Performing an effect may lose the cell and so end the loop. `worker_list_as_of_ms()` is
    since when at the latest the list of workers may have changed unseen;
    `advice_slots()` is how many calls for advice may be made now; `load_monitor` takes
    how late and long turns are, and tells what to put off.
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
        load_monitor=None,
    ):
        self._cell = cell
        self._ownership = ownership
        self._pipeline = pipeline
        self._executor = executor
        self._timers = timers
        self._worker_list_as_of_ms = worker_list_as_of_ms
        self._advice_slots = advice_slots
        self._load_monitor = load_monitor
        self._ended = False
        self._cycle_timer = 0
        self._cycle_due_ms = 0.0
        self._store_retry_timer = 0
        self._linger_since_ms = 0.0

    def end(self):
        """Take no more turns: the cell is no longer ours."""
        self._ended = True
        self._timers.cancel(self._cycle_timer)

    def apply_effects(self):
        """Do what an event has led to; the next turn decides what follows from it.

        Records wait for that turn too, so that the ends of a step and the starts of
        the next one go into the same append.
        """
        if self._ended:
            return
        self._execute_effects()
        self._schedule(min(self._cycle_due_ms, steady_ms() + CYCLE_DELAY_MS))

    def run_cycle(self):
        """Let the cell decide, store what it has to and do what it wants.

        Looks, leases and stops depend on turns, so one that fails is followed by
        another all the same; its error goes on to the timers, which log it.
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
        """Tell whether the records that wait may wait for others."""
        journal = self._cell.journal
        if journal.is_empty or journal.is_urgent or self._pipeline.is_store_unavailable:
            self._linger_since_ms = 0.0
            return False
        self._linger_since_ms = self._linger_since_ms or now_ms
        return now_ms - self._linger_since_ms < LINGER_MS

    def _store(self, now_ms):
        """Send what waits if the store takes it now; return when to try next."""
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
