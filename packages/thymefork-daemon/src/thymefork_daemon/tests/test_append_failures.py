"""Tests of failures with several appends in flight.

The store must hold the batches in order and once each. A batch is reported as stored
only with all earlier ones, and returned only if it will never be stored.
"""

import random

import pytest

from thymefork_cells.jobs.journal import Batch
from thymefork_daemon.owner import append_pipeline
from thymefork_daemon.owner.append_pipeline import AppendPipeline
from thymefork_daemon.owner.cell_partition import CellPartition
from thymefork_machines.store import AppendOutcome, AppendResult

from .fakes import FakeMetrics, FakeStore
from .sequenced_store import FAULTS, SequencedStore, jittered

CLOCK_MODULES = (append_pipeline,)
SLOW_ANSWER_MS = 300.0
CASES = 400
FAULTS_UNTIL_MS = 6_000.0
RECOVERY_MS = 12_000.0


class Writer:
    """Send batches to a pipeline and record what it reports."""

    def __init__(self, timers, store, may_write=lambda: True):
        self.store = store
        self.metrics = FakeMetrics()
        self.sent, self.stored, self.returned, self.lost = [], [], [], []
        self.refused = []
        self.pipeline = AppendPipeline(
            partition=CellPartition(store=store, cell=0, partition=7, epoch=5),
            timers=timers,
            metrics=self.metrics,
            last_sequence=0,
            may_write=may_write,
            on_ownership_lost=self.lost.append,
        )

    def send(self, *keys):
        batch = Batch()
        for key in keys:
            batch.add(key, b"v")
        self.sent.append(batch)
        self.pipeline.send(
            batch, self.stored.append, self.returned.append, self.on_refused
        )
        return batch

    def on_refused(self, batch, *, to_blame):
        self.refused.append((batch, to_blame))


@pytest.fixture
def writer(timers):
    """Return a writer with three appends in flight at a slow store."""
    writer = Writer(timers, FakeStore())
    writer.send("slow")
    timers.run(SLOW_ANSWER_MS)
    answer(writer, 0, AppendOutcome.STORED)
    writer.sent.clear()
    writer.stored.clear()
    for key in "abc":
        timers.run(SLOW_ANSWER_MS / 2)
        writer.send(key)
    return writer


def answer(writer, call, outcome, wanted=-1):
    """Answer a call by its index; call 0 showed the store to be slow."""
    result = AppendResult(outcome=outcome, expected_sequence=wanted)
    writer.store.appends[call]["on_result"](result)


def calls_with_sequence(writer, sequence):
    """Return the indices of the calls with a sequence number."""
    appends = enumerate(writer.store.appends)
    return [index for index, call in appends if call["sequence"] == sequence]


def test_overlapping_appends_have_consecutive_sequences(writer):
    sequences = [call["sequence"] for call in writer.store.appends]
    assert list(dict.fromkeys(sequences)) == [1, 2, 3, 4]


def test_stored_answer_confirms_all_earlier_batches(writer):
    answer(writer, calls_with_sequence(writer, 3)[0], AppendOutcome.STORED)
    assert writer.stored == writer.sent[:2]
    answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.STORED)
    assert writer.stored == writer.sent[:2]
    answer(writer, calls_with_sequence(writer, 4)[0], AppendOutcome.STORED)
    assert writer.stored == writer.sent


@pytest.mark.parametrize("lost", [2, 3, 4])
def test_lost_answer_blocks_no_batch_permanently(writer, timers, lost):
    for sequence in (2, 3, 4):
        if sequence != lost:
            answer(
                writer, calls_with_sequence(writer, sequence)[0], AppendOutcome.STORED
            )
    answer(writer, calls_with_sequence(writer, lost)[0], AppendOutcome.UNKNOWN)
    timers.run(100)
    if lost == 4:
        assert len(calls_with_sequence(writer, 4)) == 2
        answer(writer, calls_with_sequence(writer, 4)[-1], AppendOutcome.STORED)
    assert writer.stored == writer.sent and not writer.returned


def test_early_append_is_resent_after_earlier_ones_are_stored(writer):
    answer(
        writer,
        calls_with_sequence(writer, 3)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=2,
    )
    answer(
        writer,
        calls_with_sequence(writer, 4)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=2,
    )
    assert not writer.lost and not writer.stored
    assert len(calls_with_sequence(writer, 3)) == 1
    answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.STORED)
    assert (
        len(calls_with_sequence(writer, 3)) == len(calls_with_sequence(writer, 4)) == 2
    )
    answer(writer, calls_with_sequence(writer, 4)[1], AppendOutcome.STORED)
    assert writer.stored == writer.sent


def test_late_answer_to_early_append_triggers_resend(writer):
    answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.STORED)
    answer(
        writer,
        calls_with_sequence(writer, 3)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=2,
    )
    assert len(calls_with_sequence(writer, 3)) == 2 and not writer.lost


def test_wanted_sequence_confirms_all_lower_ones(writer):
    answer(
        writer,
        calls_with_sequence(writer, 4)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=3,
    )
    assert writer.stored == writer.sent[:1]
    assert len(calls_with_sequence(writer, 4)) == 2


def test_out_of_sequence_after_stored_append_ends_ownership(writer):
    answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.STORED)
    answer(
        writer,
        calls_with_sequence(writer, 3)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=2,
    )
    answer(
        writer,
        calls_with_sequence(writer, 3)[1],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=2,
    )
    assert writer.lost == ["out_of_sequence"]


def test_unstored_batches_are_returned_last_first(writer):
    answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.NOT_STORED)
    answer(
        writer,
        calls_with_sequence(writer, 3)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=2,
    )
    assert not writer.returned
    answer(
        writer,
        calls_with_sequence(writer, 4)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=2,
    )
    assert writer.returned == writer.sent[::-1] and writer.pipeline.is_store_unavailable
    writer.send("d")
    assert writer.store.appends[-1]["sequence"] == 2


# A refused append was offered again and again, and the store counted as away.
@pytest.mark.parametrize("is_repeated", [False, True])
def test_refused_head_returns_all_batches_and_blames_the_first(
    writer, timers, is_repeated
):
    if is_repeated:
        answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.UNKNOWN)
        timers.run(100)
    answer(writer, calls_with_sequence(writer, 2)[-1], AppendOutcome.REFUSED)
    for sequence in (3, 4):
        assert not writer.refused
        answer(
            writer,
            calls_with_sequence(writer, sequence)[0],
            AppendOutcome.OUT_OF_SEQUENCE,
            wanted=2,
        )
    first, second, third = writer.sent
    assert writer.refused == [(third, False), (second, False), (first, True)]
    assert not writer.returned and not writer.pipeline.is_store_unavailable
    writer.send("d")
    assert writer.store.appends[-1]["sequence"] == 2


# A refusal out of turn must neither be lost nor blame the batches before it.
def test_batch_refused_behind_another_is_sent_again_as_the_first(writer):
    answer(writer, calls_with_sequence(writer, 3)[0], AppendOutcome.REFUSED)
    assert not writer.refused
    answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.STORED)
    answer(writer, calls_with_sequence(writer, 3)[1], AppendOutcome.REFUSED)
    answer(
        writer,
        calls_with_sequence(writer, 4)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=3,
    )
    assert writer.refused == [(writer.sent[2], False), (writer.sent[1], True)]


def test_no_batch_is_returned_while_later_outcome_is_unknown(writer, timers):
    """A delayed call could store the third batch after a new second one."""
    answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.NOT_STORED)
    answer(writer, calls_with_sequence(writer, 3)[0], AppendOutcome.UNKNOWN)
    answer(
        writer,
        calls_with_sequence(writer, 4)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=2,
    )
    assert not writer.returned
    timers.run(100)
    answer(writer, calls_with_sequence(writer, 2)[1], AppendOutcome.NOT_STORED)
    assert not writer.returned
    timers.run(100)
    answer(writer, calls_with_sequence(writer, 2)[2], AppendOutcome.STORED)
    answer(writer, calls_with_sequence(writer, 4)[1], AppendOutcome.STORED)
    assert writer.stored == writer.sent


def test_rejected_append_in_the_middle_is_resent(writer):
    answer(writer, calls_with_sequence(writer, 3)[0], AppendOutcome.NOT_STORED)
    answer(writer, calls_with_sequence(writer, 2)[0], AppendOutcome.STORED)
    answer(
        writer,
        calls_with_sequence(writer, 4)[0],
        AppendOutcome.OUT_OF_SEQUENCE,
        wanted=3,
    )
    assert not writer.returned and len(calls_with_sequence(writer, 3)) == 2
    answer(writer, calls_with_sequence(writer, 3)[1], AppendOutcome.STORED)
    answer(writer, calls_with_sequence(writer, 4)[1], AppendOutcome.STORED)
    assert writer.stored == writer.sent


@pytest.mark.parametrize("sequence", [2, 3, 4])
def test_fenced_append_ends_all_in_flight(writer, timers, sequence):
    answer(writer, calls_with_sequence(writer, sequence)[0], AppendOutcome.FENCED)
    assert writer.lost == ["fenced"]
    count = len(writer.store.appends)
    timers.run(3_000)
    assert len(writer.store.appends) == count
    assert not writer.stored and not writer.returned


def test_nothing_is_reported_after_end(writer):
    def end(batch):
        writer.stored.append(batch)
        writer.pipeline.end()

    writer.pipeline._in_flight[0].on_stored = end
    answer(writer, calls_with_sequence(writer, 4)[0], AppendOutcome.STORED)
    assert writer.stored == writer.sent[:1]


def test_batch_without_records_waits_for_earlier_ones(writer):
    writer.send()
    assert not writer.stored
    answer(writer, calls_with_sequence(writer, 4)[0], AppendOutcome.STORED)
    assert writer.stored == writer.sent


def test_failing_callback_does_not_block_later_batches(writer):
    def fail(batch):
        raise RuntimeError

    writer.pipeline._in_flight[0].on_stored = fail
    with pytest.raises(RuntimeError):
        answer(writer, calls_with_sequence(writer, 4)[0], AppendOutcome.STORED)
    assert writer.stored == writer.sent[1:]


class RandomFaultCase:
    """Write randomly to a store that fails randomly."""

    def __init__(self, timers, seed):
        self._timers, self._rng = timers, random.Random(seed)
        self._started_ms = timers.now_ms
        self._fault_probability = self._rng.choice([0.05, 0.2, 0.5])
        self._faults = self._rng.sample(FAULTS, self._rng.randint(1, len(FAULTS)))
        self._may_write = True
        latency_ms = self._rng.choice([20.0, 70.0, 150.0])
        store = SequencedStore(
            timers=timers,
            latency_ms=jittered(self._rng, latency_ms, self._rng.choice([0.1, 0.9])),
            service_time_ms=jittered(self._rng, self._rng.choice([4.0, 100.0])),
            draw_fault=self._draw,
            delayed_ms=lambda: self._rng.uniform(500.0, 6_000.0),
            repeats_cost_service_time=self._rng.random() < 0.5,
        )
        if seed % 4 == 0:
            store.fenced_from_ms = timers.now_ms + self._rng.uniform(500.0, 5_000.0)
        self.writer = Writer(timers, store, lambda: self._may_write)
        self.confirmed, self.refused, self.waiting = [], [], []
        self._next_key = 0
        self._retry_ms = 0.0
        self.max_sent = 0
        self._step()

    def _is_failing(self):
        return self._timers.now_ms - self._started_ms < FAULTS_UNTIL_MS

    def _draw(self, sequence):
        if not self._is_failing() or self._rng.random() > self._fault_probability:
            return ""
        return self._rng.choice(self._faults)

    def _step(self):
        """Queue records, send them if the pipeline allows, and vary `may_write`."""
        self._may_write = not self._is_failing() or self._rng.random() > 0.05
        if self._is_failing() and self._rng.random() < 0.5:
            self._next_key += 1
            self.waiting.append(f"{self._next_key}")
        pipeline, now_ms = self.writer.pipeline, self._timers.now_ms
        next_send_ms = pipeline.next_send_ms
        is_open = (
            next_send_ms is not None and max(next_send_ms, self._retry_ms) <= now_ms
        )
        if is_open and not self.writer.lost:
            if self.waiting or self._rng.random() < 0.05:
                self._send()
        self._timers.after(10.0, self._step)

    def _send(self):
        batch = Batch()
        for key in self.waiting:
            batch.add(key, b"v")
        self.waiting = []
        self.writer.pipeline.send(batch, self._on_stored, self._on_returned)
        self.max_sent = max(self.max_sent, len(self.writer.pipeline._in_flight))

    def _on_stored(self, batch):
        stored = {key for key, _ in self.writer.store.stored}
        self.confirmed += [key for key, _ in batch.records]
        assert stored >= set(self.confirmed)

    def _on_returned(self, batch):
        """Refuse every second record and queue the rest before all others."""
        keys = [key for key, _ in batch.records]
        self.refused += keys[::2]
        self.waiting = keys[1::2] + self.waiting
        self._retry_ms = self._timers.now_ms + 60.0


@pytest.mark.parametrize("seed", range(CASES))
def test_batches_are_stored_once_in_order_under_random_faults(timers, seed):
    case = RandomFaultCase(timers, seed)
    timers.run(FAULTS_UNTIL_MS + RECOVERY_MS)
    stored = [key for key, _ in case.writer.store.stored]
    assert stored == sorted(set(stored), key=int)
    assert case.confirmed == stored[: len(case.confirmed)]
    assert not set(case.refused) & set(stored)
    if case.writer.lost:
        assert seed % 4 == 0 and case.writer.lost == ["fenced"]
        return
    assert not case.waiting and not case.writer.pipeline.is_busy
    assert case.confirmed == stored
    assert len(stored) + len(case.refused) == case._next_key
