"""Load: a store that takes 250 to 600 ms an append, and 60 jobs a second for a cell.

A caller's job waits for the append that carries it, and each start for the one with its
intent. One append at a time makes that one and a half appends on average; a quick store
is worth no more calls than one at a time takes.
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
TURN_MS = 4.0
DECISIONS_PER_S = 60
LOAD_MS = 6_000.0
ONE_AT_A_TIME = 1
AS_MANY_AS_GAIN = append_window.MAX_IN_FLIGHT


class Decisions:
    """Decide all the time; what waits leaves with the next batch."""

    def __init__(self, timers, store, rng):
        self._timers, self._rng = timers, rng
        self.waits_ms = []
        self._waiting = []
        self.pump = AppendPipeline(
            partition=CellPartition(store=store, cell=0, partition=7, epoch=5),
            timers=timers,
            metrics=FakeMetrics(),
            last_sequence=0,
            may_write=lambda: True,
            on_ownership_lost=lambda reason: pytest.fail(reason),
        )
        self._until_ms = timers.now_ms + LOAD_MS
        self._decide()
        self._turn()

    def _decide(self):
        if self._timers.now_ms < self._until_ms:
            self._waiting.append(self._timers.now_ms)
            apart_ms = self._rng.expovariate(DECISIONS_PER_S / 1_000.0)
            self._timers.after(apart_ms, self._decide)

    def _turn(self):
        next_send_ms = self.pump.next_send_ms
        if (
            self._waiting
            and next_send_ms is not None
            and next_send_ms <= self._timers.now_ms
        ):
            decided, self._waiting = self._waiting, []
            batch = Batch()
            for number, _ in enumerate(decided):
                batch.add(f"{number}", b"v")
            self.pump.send(batch, lambda _: self._note(decided), pytest.fail)
        self._timers.after(TURN_MS, self._turn)

    def _note(self, decided):
        self.waits_ms += [self._timers.now_ms - at_ms for at_ms in decided]


def play(timers, monkeypatch, most, *, latency_ms, service_time_ms, seed=1):
    """Return the mean wait from a decision to its answered append, and the store."""
    monkeypatch.setattr(append_window, "MAX_IN_FLIGHT", most)
    monkeypatch.setattr(append_window, "INITIAL_IN_FLIGHT", min(2.0, most))
    rng = random.Random(seed)
    store = SequencedStore(
        timers=timers,
        latency_ms=jittered(rng, latency_ms),
        service_time_ms=jittered(rng, service_time_ms, 0.02),
        repeats_cost_service_time=False,
    )
    decisions = Decisions(timers, store, rng)
    timers.run(LOAD_MS + 3_000.0)
    waits_ms = decisions.waits_ms
    assert len(waits_ms) > 0.8 * DECISIONS_PER_S * LOAD_MS / 1_000.0
    return mean(waits_ms), store


@pytest.mark.parametrize(
    "latency_ms, service_time_ms, most_share",
    [
        (65.0, 160.0, 0.96),  # 290 ms, half of it the turn
        (100.0, 240.0, 0.95),  # 440 ms
        (120.0, 10.0, 0.88),  # 250 ms, nearly all of it on the way
        (290.0, 20.0, 0.9),  # 600 ms
        (10.0, 300.0, 1.15),  # all is the turn: only what finding out costs
    ],
)
def test_a_decision_waits_less_where_appends_overlap(
    timers, monkeypatch, latency_ms, service_time_ms, most_share
):
    shares = []
    for seed in range(1, 6):
        load = {
            "latency_ms": latency_ms,
            "service_time_ms": service_time_ms,
            "seed": seed,
        }
        alone_ms, _ = play(timers, monkeypatch, ONE_AT_A_TIME, **load)
        overlapping_ms, store = play(timers, monkeypatch, AS_MANY_AS_GAIN, **load)
        assert store.max_open <= append_pipeline.MAX_OPEN_CALLS
        shares.append(overlapping_ms / alone_ms)
    assert mean(shares) <= most_share


def test_a_quick_store_gets_one_append_at_a_time(timers, monkeypatch):
    load = {"latency_ms": 3.0, "service_time_ms": 4.0}
    alone_ms, before = play(timers, monkeypatch, ONE_AT_A_TIME, **load)
    wait_ms, store = play(timers, monkeypatch, AS_MANY_AS_GAIN, **load)
    assert store.max_open == 1
    assert (wait_ms, store.calls) == (pytest.approx(alone_ms), before.calls)


def test_once_the_store_is_quick_again_appends_go_one_at_a_time(timers):
    rng = random.Random(3)
    store = SequencedStore(timers=timers, latency_ms=jittered(rng, 150.0))
    Decisions(timers, store, rng)
    timers.run(LOAD_MS / 2)
    assert store.max_open > 1
    store.latency_ms = jittered(rng, 3.0)
    timers.run(1_000.0)
    store.max_open = 0
    timers.run(1_000.0)
    assert store.max_open == 1
