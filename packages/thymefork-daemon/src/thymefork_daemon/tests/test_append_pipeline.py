"""Tests of ordered, exactly-once appends."""

from types import SimpleNamespace

import pytest

from thymefork_cells.jobs.journal import Batch
from thymefork_daemon.owner import append_pipeline
from thymefork_daemon.owner.append_pipeline import AppendPipeline
from thymefork_daemon.owner.cell_partition import CellPartition
from thymefork_machines.store import AppendOutcome, AppendResult, StoreClient
from thymefork_net import Address

from .fakes import FakeMetrics, FakeStore

CLOCK_MODULES = (append_pipeline,)


@pytest.fixture
def pipeline(timers):
    store = FakeStore()
    made = AppendPipeline(
        partition=CellPartition(store=store, cell=0, partition=7, epoch=5),
        timers=timers,
        metrics=FakeMetrics(),
        last_sequence=0,
        may_write=lambda: True,
        on_ownership_lost=lambda reason: made.lost.append(reason),
    )
    made.lost, made.store = [], store
    return made


def send(pipeline, *keys):
    stored, returned = [], []
    batch = Batch()
    for key in keys:
        batch.add(key, b"v")
    pipeline.send(batch, stored.append, returned.append)
    return stored, returned


def answer(pipeline, outcome, call=-1, wanted=-1):
    result = AppendResult(outcome=outcome, expected_sequence=wanted)
    pipeline.store.appends[call]["on_result"](result)


def sequences(pipeline):
    return [call["sequence"] for call in pipeline.store.appends]


def test_unanswered_append_is_resent_with_same_sequence(pipeline, timers):
    stored, _ = send(pipeline, "a")
    answer(pipeline, AppendOutcome.UNKNOWN)
    timers.run(200)
    answer(pipeline, AppendOutcome.STORED)
    assert len(stored) == 1 and len(sequences(pipeline)) > 1
    assert set(sequences(pipeline)) == {1}


def test_batch_without_records_uses_no_sequence_number(pipeline):
    # The next append would be refused as out of sequence.
    stored, _ = send(pipeline)
    assert len(stored) == 1 and not pipeline.store.appends
    send(pipeline, "a")
    assert sequences(pipeline) == [1]


def test_rejected_batch_is_returned_and_its_sequence_reused(pipeline):
    _, returned = send(pipeline, "a")
    answer(pipeline, AppendOutcome.NOT_STORED)
    assert len(returned) == 1 and pipeline.is_store_unavailable
    stored, _ = send(pipeline, "b")
    answer(pipeline, AppendOutcome.STORED)
    assert len(stored) == 1 and sequences(pipeline) == [1, 1]
    assert not pipeline.is_store_unavailable


def test_batch_with_unknown_outcome_is_never_returned(pipeline, timers):
    _, returned = send(pipeline, "a")
    answer(pipeline, AppendOutcome.UNKNOWN)
    timers.run(200)
    answer(pipeline, AppendOutcome.NOT_STORED)
    assert not returned


def test_fenced_append_ends_ownership(pipeline):
    send(pipeline, "a")
    answer(pipeline, AppendOutcome.FENCED)
    assert pipeline.lost == ["fenced"]


def test_slow_append_makes_store_unavailable(pipeline, timers):
    send(pipeline, "a")
    assert not pipeline.is_store_unavailable
    timers.run(1_100)
    assert pipeline.is_store_unavailable


def test_unanswered_append_is_hedged(pipeline, timers):
    # A lost answer must not delay the batch until the call's timeout.
    stored, _ = send(pipeline, "a")
    timers.run(70)
    assert sequences(pipeline) == [1, 1]
    answer(pipeline, AppendOutcome.STORED)
    answer(pipeline, AppendOutcome.STORED, call=0)
    assert len(stored) == 1


def test_hedges_are_sent_at_growing_intervals(pipeline, timers):
    # Each hedge costs time in a slow store.
    send(pipeline, "a")
    timers.run(900)
    assert len(sequences(pipeline)) == 4
    assert set(sequences(pipeline)) == {1}


def test_sequence_below_wanted_one_counts_as_stored(pipeline):
    stored, _ = send(pipeline, "a")
    answer(pipeline, AppendOutcome.OUT_OF_SEQUENCE, wanted=4)
    assert stored


def test_sequence_above_wanted_one_ends_ownership(pipeline):
    send(pipeline, "a")
    answer(pipeline, AppendOutcome.OUT_OF_SEQUENCE, wanted=0)
    assert pipeline.lost == ["out_of_sequence"]


def test_unresponsive_store_is_unavailable_after_one_second(pipeline, timers):
    send(pipeline, "a")
    timers.run(950)
    assert not pipeline.is_store_unavailable
    timers.run(100)
    assert pipeline.is_store_unavailable


def test_batch_that_can_not_be_sent_is_returned_as_refused(pipeline):
    """Guards against a record whose key is too long that stops all later appends."""
    calls, refused, stored = [], [], []
    pool = SimpleNamespace(send=calls.append)
    store = StoreClient(pool=pool, address=Address(host="10.0.0.1", port=9000))
    pipeline._partition = CellPartition(store=store, cell=0, partition=7, epoch=5)
    for key in ("k" * 256, "a"):
        batch = Batch()
        batch.add(key, b"v")
        pipeline.send(
            batch,
            stored.append,
            lambda batch: None,
            lambda batch, to_blame: refused.append((batch.records, to_blame)),
        )
    assert refused == [([("k" * 256, b"v")], True)]
    assert len(calls) == 1 and "seq=1" in calls[0].target
