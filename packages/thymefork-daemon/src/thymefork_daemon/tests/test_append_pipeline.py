"""Appends: each batch once and in order."""

import pytest

from thymefork_cells.jobs.journal import Batch
from thymefork_daemon.owner import append_pipeline
from thymefork_daemon.owner.append_pipeline import AppendPipeline
from thymefork_daemon.owner.cell_partition import CellPartition
from thymefork_machines.store import AppendOutcome, AppendResult

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


def test_an_unanswered_append_is_sent_again_under_its_number(pipeline, timers):
    stored, _ = send(pipeline, "a")
    answer(pipeline, AppendOutcome.UNKNOWN)
    timers.run(200)
    answer(pipeline, AppendOutcome.STORED)
    assert len(stored) == 1 and len(sequences(pipeline)) > 1
    assert set(sequences(pipeline)) == {1}


def test_a_batch_without_records_takes_no_number(pipeline):
    # Seen in trouble-3 of cab-bogota: the next append was refused as out of sequence.
    stored, _ = send(pipeline)
    assert len(stored) == 1 and not pipeline.store.appends
    send(pipeline, "a")
    assert sequences(pipeline) == [1]


def test_what_was_not_stored_comes_back_and_its_number_is_used_again(pipeline):
    _, returned = send(pipeline, "a")
    answer(pipeline, AppendOutcome.NOT_STORED)
    assert len(returned) == 1 and pipeline.is_store_unavailable
    stored, _ = send(pipeline, "b")
    answer(pipeline, AppendOutcome.STORED)
    assert len(stored) == 1 and sequences(pipeline) == [1, 1]
    assert not pipeline.is_store_unavailable


def test_what_may_be_stored_never_comes_back(pipeline, timers):
    _, returned = send(pipeline, "a")
    answer(pipeline, AppendOutcome.UNKNOWN)
    timers.run(200)
    answer(pipeline, AppendOutcome.NOT_STORED)
    assert not returned


def test_a_fence_ends_the_ownership(pipeline):
    send(pipeline, "a")
    answer(pipeline, AppendOutcome.FENCED)
    assert pipeline.lost == ["fenced"]


def test_a_long_append_means_that_the_store_is_away(pipeline, timers):
    send(pipeline, "a")
    assert not pipeline.is_store_unavailable
    timers.run(1_100)
    assert pipeline.is_store_unavailable


def test_an_append_without_an_answer_is_sent_beside_the_first(pipeline, timers):
    # Seen on days when the store loses answers: each loss cost a second.
    stored, _ = send(pipeline, "a")
    timers.run(70)
    assert sequences(pipeline) == [1, 1]
    answer(pipeline, AppendOutcome.STORED)
    answer(pipeline, AppendOutcome.STORED, call=0)
    assert len(stored) == 1


def test_hedges_follow_at_growing_distances_and_are_few(pipeline, timers):
    # Seen on days with a slow store: each repetition takes its turn there as well.
    send(pipeline, "a")
    timers.run(900)
    assert len(sequences(pipeline)) == 4
    assert set(sequences(pipeline)) == {1}


def test_a_number_that_was_stored_long_ago_is_taken_as_stored(pipeline):
    stored, _ = send(pipeline, "a")
    answer(pipeline, AppendOutcome.OUT_OF_SEQUENCE, wanted=4)
    assert stored


def test_a_number_that_is_too_high_ends_the_ownership(pipeline):
    send(pipeline, "a")
    answer(pipeline, AppendOutcome.OUT_OF_SEQUENCE, wanted=0)
    assert pipeline.lost == ["out_of_sequence"]


def test_a_silent_store_counts_as_away_after_a_second(pipeline, timers):
    send(pipeline, "a")
    timers.run(950)
    assert not pipeline.is_store_unavailable
    timers.run(100)
    assert pipeline.is_store_unavailable
