"""Tests of overlapping appends: waiting times at a slow store.

A job waits for the append that carries it, which takes 250 to 600 ms here. A fast store
must get no more calls than without overlap.
"""

import random
from statistics import mean

import pytest

from thymefork_cells.jobs.journal import Batch
from thymefork_daemon.owner import append_pipeline, append_window
from thymefork_daemon.owner.append_pipeline import AppendPipeline
from thymefork_daemon.owner.cell_partition import CellPartition

from .fakes import FakeMetrics
from .sequenced_store import SequencedStore, jittered

CLOCK_MODULES = (append_pipeline,)
CYCLE_MS = 4.0
DECISIONS_PER_S = 60
LOAD_MS = 6_000.0
SEQUENTIAL = 1
OVERLAPPING = append_window.MAX_IN_FLIGHT


class DecisionLoad:
    """Decide at random times; waiting decisions leave with the next batch."""

    def __init__(self, timers, store, rng):
        self._timers, self._rng = timers, rng
        self.waits_ms = []
        self._waiting = []
        self.pipeline = AppendPipeline(
            partition=CellPartition(store=store, cell=0, partition=7, epoch=5),
            timers=timers,
            metrics=FakeMetrics(),
            last_sequence=0,
            may_write=lambda: True,
            on_ownership_lost=lambda reason: pytest.fail(reason),
        )
        self._until_ms = timers.now_ms + LOAD_MS
        self._decide()
        self._cycle()

    def _decide(self):
        if self._timers.now_ms < self._until_ms:
            self._waiting.append(self._timers.now_ms)
            apart_ms = self._rng.expovariate(DECISIONS_PER_S / 1_000.0)
            self._timers.after(apart_ms, self._decide)

    def _cycle(self):
        next_send_ms = self.pipeline.next_send_ms
        if (
            self._waiting
            and next_send_ms is not None
            and next_send_ms <= self._timers.now_ms
        ):
            decided, self._waiting = self._waiting, []
            batch = Batch()
            for number, _ in enumerate(decided):
                batch.add(f"{number}", b"v")
            self.pipeline.send(
                batch, lambda _: self._record_waits(decided), pytest.fail
            )
        self._timers.after(CYCLE_MS, self._cycle)

    def _record_waits(self, decided):
        self.waits_ms += [self._timers.now_ms - at_ms for at_ms in decided]


def run_load(
    timers, monkeypatch, max_in_flight, *, latency_ms, service_time_ms, seed=1
):
    """Return the mean wait from a decision to its stored append, and the store."""
    monkeypatch.setattr(append_window, "MAX_IN_FLIGHT", max_in_flight)
    monkeypatch.setattr(append_window, "INITIAL_IN_FLIGHT", min(2.0, max_in_flight))
    rng = random.Random(seed)
    store = SequencedStore(
        timers=timers,
        latency_ms=jittered(rng, latency_ms),
        service_time_ms=jittered(rng, service_time_ms, 0.02),
        repeats_cost_service_time=False,
    )
    decisions = DecisionLoad(timers, store, rng)
    timers.run(LOAD_MS + 3_000.0)
    waits_ms = decisions.waits_ms
    assert len(waits_ms) > 0.8 * DECISIONS_PER_S * LOAD_MS / 1_000.0
    return mean(waits_ms), store


@pytest.mark.parametrize(
    "latency_ms, service_time_ms, max_ratio",
    [
        (65.0, 160.0, 0.96),  # 290 ms, half of it service time
        (100.0, 240.0, 0.95),  # 440 ms
        (120.0, 10.0, 0.88),  # 250 ms, nearly all of it latency
        (290.0, 20.0, 0.9),  # 600 ms
        (10.0, 300.0, 1.15),  # only service time: overlap gains nothing
    ],
)
def test_overlap_shortens_waits_at_slow_store(
    timers, monkeypatch, latency_ms, service_time_ms, max_ratio
):
    ratios = []
    for seed in range(1, 6):
        load = {
            "latency_ms": latency_ms,
            "service_time_ms": service_time_ms,
            "seed": seed,
        }
        sequential_ms, _ = run_load(timers, monkeypatch, SEQUENTIAL, **load)
        overlapping_ms, store = run_load(timers, monkeypatch, OVERLAPPING, **load)
        assert store.max_open <= append_pipeline.MAX_OPEN_CALLS
        ratios.append(overlapping_ms / sequential_ms)
    assert mean(ratios) <= max_ratio


def test_fast_store_gets_one_append_at_a_time(timers, monkeypatch):
    load = {"latency_ms": 3.0, "service_time_ms": 4.0}
    sequential_ms, before = run_load(timers, monkeypatch, SEQUENTIAL, **load)
    wait_ms, store = run_load(timers, monkeypatch, OVERLAPPING, **load)
    assert store.max_open == 1
    assert (wait_ms, store.calls) == (pytest.approx(sequential_ms), before.calls)


def test_overlap_ends_when_store_is_fast_again(timers):
    rng = random.Random(3)
    store = SequencedStore(timers=timers, latency_ms=jittered(rng, 150.0))
    DecisionLoad(timers, store, rng)
    timers.run(LOAD_MS / 2)
    assert store.max_open > 1
    store.latency_ms = jittered(rng, 3.0)
    timers.run(1_000.0)
    store.max_open = 0
    timers.run(1_000.0)
    assert store.max_open == 1
