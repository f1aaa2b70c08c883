"""Fake store that executes one writer's appends in sequence, by number."""

import random

from attrs import define, field

from thymefork_machines.store import AppendOutcome, AppendResult

DEDUPLICATED_NUMBERS = 5
# Faults of a call: it never arrives, arrives after its timeout, gets no answer, or is
# rejected.
FAULTS = ("lost_call", "late_call", "lost_answer", "busy")


@define(kw_only=True, eq=False)
class SequencedStore:
    """Answer after network latency and service time; inject the faults drawn.

    `draw_fault(number)` names a fault of the next call, or "". A call without an answer
    has an unknown outcome after `timeout_ms`; from `fenced_from_ms` on, all are fenced.
    """

    timers: object
    latency_ms: object = lambda: 3.0
    service_time_ms: object = lambda: 4.0
    draw_fault: object = lambda number: ""
    delayed_ms: object = lambda: 3_000.0
    timeout_ms: float = 1_000.0
    fenced_from_ms: float = float("inf")
    last_number: int = 0
    free_at_ms: float = 0.0
    stored: list = field(factory=list)
    calls: int = 0
    open: int = 0
    max_open: int = 0
    arrived: set = field(factory=set)
    repeats_cost_service_time: bool = True

    def append(self, *, records, sequence, on_result, **_):
        """Accept a call; it is answered once, later."""
        self.calls += 1
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        call = _Call(
            store=self, records=records, sequence=sequence, on_result=on_result
        )
        fault = self.draw_fault(sequence)
        self.timers.after(self.timeout_ms, call.expire)
        if fault == "lost_call":
            return
        latency_ms = self.delayed_ms() if fault == "late_call" else self.latency_ms()
        self.timers.after(latency_ms, lambda: call.arrive(fault))


@define(kw_only=True, eq=False)
class _Call:
    """Call that is answered once."""

    store: SequencedStore
    records: list
    sequence: int
    on_result: object
    is_answered: bool = False

    def expire(self):
        """Time the call out."""
        self._answer(AppendResult(outcome=AppendOutcome.UNKNOWN))

    def arrive(self, fault):
        """Execute the call after those that arrived before it."""
        store = self.store
        if fault == "busy":
            result = AppendResult(outcome=AppendOutcome.NOT_STORED, error="503")
            store.timers.after(store.latency_ms(), lambda: self._answer(result))
            return
        costs_service_time = (
            store.repeats_cost_service_time or self.sequence not in store.arrived
        )
        store.arrived.add(self.sequence)
        service_time_ms = store.service_time_ms() if costs_service_time else 0.0
        store.free_at_ms = max(store.timers.now_ms, store.free_at_ms) + service_time_ms
        store.timers.at(store.free_at_ms, lambda: self._execute(fault))

    def _execute(self, fault):
        result = self._decide()
        if fault != "lost_answer":
            latency_ms = self.store.latency_ms()
            self.store.timers.after(latency_ms, lambda: self._answer(result))

    def _decide(self):
        store, wanted = self.store, self.store.last_number + 1
        if store.timers.now_ms >= store.fenced_from_ms:
            return AppendResult(outcome=AppendOutcome.FENCED)
        if self.sequence == wanted:
            store.last_number = wanted
            store.stored += self.records
        elif not 0 <= store.last_number - self.sequence < DEDUPLICATED_NUMBERS:
            return AppendResult(
                outcome=AppendOutcome.OUT_OF_SEQUENCE, expected_sequence=wanted
            )
        return AppendResult(outcome=AppendOutcome.STORED)

    def _answer(self, result):
        if not self.is_answered:
            self.is_answered = True
            self.store.open -= 1
            self.on_result(result)


def jittered(rng: random.Random, mean_ms, share=0.15):
    """Return a function that draws durations around a mean."""
    return lambda: mean_ms * rng.uniform(1.0 - share, 1.0 + share)
