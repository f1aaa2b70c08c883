"""Tests of scheduling cycles: batching of events and records, and effects."""

from types import SimpleNamespace

import pytest

from thymefork_daemon.capacity import LoadShedder, OwnerLoad
from thymefork_daemon.owner import scheduling_loop
from thymefork_daemon.owner.scheduling_loop import (
    CYCLE_DELAY_MS,
    LINGER_MS,
    STORE_RETRY_DELAY_MS,
    SchedulingLoop,
)

CLOCK_MODULES = (scheduling_loop,)
FAR_FUTURE_MS = 1_000.0


class FakeJournal:
    def __init__(self):
        self.waiting = []
        self.is_urgent = False

    @property
    def is_empty(self):
        return not self.waiting

    def take(self, now_ms):
        batch, self.waiting = SimpleNamespace(effects=self.waiting), []
        return batch


class FakeCell:
    def __init__(self):
        self.context = SimpleNamespace(is_store_unavailable=None)
        self.journal = FakeJournal()
        self.effects = []
        self.turns_ms = []
        self.stored = []
        self.not_stored = []
        self.refused = []
        self.takes_others = True

    def run_cycle(self, now_ms):
        self.turns_ms.append(now_ms)
        return now_ms + FAR_FUTURE_MS

    def take_effects(self):
        effects, self.effects = self.effects, []
        return effects

    def on_stored(self, batch):
        self.stored.append(batch)

    def on_not_stored(self, batch, *, now_ms):
        self.not_stored.append(batch)

    def on_refused(self, batch, *, to_blame, now_ms):
        self.refused.append((batch, to_blame))
        return self.takes_others


class FakePipeline:
    next_send_ms = 0.0
    is_store_unavailable = False

    def __init__(self):
        self.sent = []
        self.cleared = 0

    def send(self, batch, on_stored, on_not_stored, on_refused):
        self.sent.append((batch, on_stored, on_not_stored))
        self.on_refused = on_refused

    def report_failing(self):
        self.is_store_unavailable = True

    def reset_failure(self):
        self.cleared += 1


@pytest.fixture
def harness(timers):
    cell, pipeline, performed = FakeCell(), FakePipeline(), []
    ownership = SimpleNamespace(is_renewed=lambda: True)
    loop = SchedulingLoop(
        cell=cell,
        ownership=ownership,
        pipeline=pipeline,
        executor=SimpleNamespace(execute=performed.extend),
        timers=timers,
        worker_list_as_of_ms=lambda: 0.0,
    )
    loop.run_cycle()
    return SimpleNamespace(
        loop=loop,
        cell=cell,
        pipeline=pipeline,
        performed=performed,
        ownership=ownership,
    )


def test_events_close_together_share_a_cycle(harness, timers):
    harness.cell.effects = ["first"]
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS / 2)
    harness.cell.effects = ["second"]
    harness.loop.apply_effects()
    assert harness.performed == ["first", "second"]
    assert len(harness.cell.turns_ms) == 1
    timers.run(CYCLE_DELAY_MS / 2)
    assert len(harness.cell.turns_ms) == 2
    timers.run(CYCLE_DELAY_MS)
    assert len(harness.cell.turns_ms) == 2


def test_next_cycle_runs_when_due_without_events(harness, timers):
    timers.run(FAR_FUTURE_MS - 1)
    assert len(harness.cell.turns_ms) == 1
    timers.run(1)
    assert len(harness.cell.turns_ms) == 2


def test_failed_cycle_is_followed_by_another(harness, timers):
    def fail(now_ms):
        harness.cell.run_cycle = FakeCell.run_cycle.__get__(harness.cell)
        raise ArithmeticError

    harness.cell.run_cycle = fail
    harness.loop.apply_effects()
    with pytest.raises(ArithmeticError):
        timers.run(CYCLE_DELAY_MS)
    timers.run(FAR_FUTURE_MS)
    assert len(harness.cell.turns_ms) >= 2


def test_non_urgent_records_linger(harness, timers):
    harness.cell.journal.waiting = ["an end"]
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS + LINGER_MS - 1)
    assert not harness.pipeline.sent
    timers.run(1)
    assert len(harness.pipeline.sent) == 1


@pytest.mark.parametrize("reason", ["is_urgent", "store_is_away"])
def test_urgent_records_are_stored_in_next_cycle(harness, timers, reason):
    harness.cell.journal.waiting = ["a job"]
    harness.cell.journal.is_urgent = reason == "is_urgent"
    harness.pipeline.is_store_unavailable = reason == "store_is_away"
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    assert len(harness.pipeline.sent) == 1


def test_one_append_at_a_time(harness, timers):
    harness.cell.journal.waiting, harness.cell.journal.is_urgent = ["a job"], True
    harness.pipeline.next_send_ms = None
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    assert not harness.pipeline.sent


def test_overlapping_batch_is_sent_when_pipeline_allows(harness, timers):
    harness.pipeline.next_send_ms = timers.now_ms + 80.0
    harness.cell.journal.waiting, harness.cell.journal.is_urgent = ["a job"], True
    harness.loop.apply_effects()
    timers.run(79)
    assert not harness.pipeline.sent
    timers.run(1)
    assert len(harness.pipeline.sent) == 1


def test_returned_batches_are_followed_by_one_after_delay(harness, timers):
    for effect in ("first", "second"):
        harness.cell.journal.waiting, harness.cell.journal.is_urgent = [effect], True
        harness.loop.apply_effects()
        timers.run(CYCLE_DELAY_MS)
    assert len(harness.pipeline.sent) == 2
    for batch, _, on_not_stored in reversed(harness.pipeline.sent):
        on_not_stored(batch)
    assert [batch.effects for batch in harness.cell.not_stored] == [
        ["second"],
        ["first"],
    ]
    harness.cell.journal.waiting = ["both"]
    timers.run(STORE_RETRY_DELAY_MS - 1)
    assert len(harness.pipeline.sent) == 2
    timers.run(1 + CYCLE_DELAY_MS)
    assert len(harness.pipeline.sent) == 3


def test_effects_of_batch_are_executed_after_it_is_stored(harness, timers):
    harness.cell.journal.waiting, harness.cell.journal.is_urgent = ["a reply"], True
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    batch, on_stored, _ = harness.pipeline.sent[0]
    assert not harness.performed
    on_stored(batch)
    assert harness.cell.stored == [batch] and harness.performed == ["a reply"]


def test_next_append_waits_after_rejected_one(harness, timers):
    harness.cell.journal.waiting, harness.cell.journal.is_urgent = ["a job"], True
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    batch, _, on_not_stored = harness.pipeline.sent[0]
    on_not_stored(batch)
    assert harness.cell.not_stored == [batch]
    harness.cell.journal.waiting = ["another job"]
    harness.loop.apply_effects()
    timers.run(STORE_RETRY_DELAY_MS - 1)
    assert len(harness.pipeline.sent) == 1
    timers.run(1 + CYCLE_DELAY_MS)
    assert len(harness.pipeline.sent) == 2 and not harness.pipeline.cleared


def test_failure_is_reset_after_retry_delay(harness, timers):
    harness.cell.journal.waiting, harness.cell.journal.is_urgent = ["a job"], True
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    batch, _, on_not_stored = harness.pipeline.sent[0]
    on_not_stored(batch)
    timers.run(STORE_RETRY_DELAY_MS)
    assert harness.pipeline.cleared == 1


# Other records have to be stored at once after a refused append.
@pytest.mark.parametrize("takes_others", [True, False])
def test_refused_append_is_followed_at_once_if_store_takes_others(
    harness, timers, takes_others
):
    harness.cell.takes_others = takes_others
    harness.cell.journal.waiting, harness.cell.journal.is_urgent = ["a job"], True
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    batch = harness.pipeline.sent[0][0]
    harness.pipeline.on_refused(batch, to_blame=True)
    assert harness.cell.refused == [(batch, True)] and not harness.cell.not_stored
    assert harness.pipeline.is_store_unavailable is not takes_others
    harness.cell.journal.waiting = ["others"]
    harness.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    assert len(harness.pipeline.sent) == (2 if takes_others else 1)
    timers.run(STORE_RETRY_DELAY_MS + CYCLE_DELAY_MS)
    assert len(harness.pipeline.sent) == 2


@pytest.mark.parametrize("renewed", [True, False])
def test_cell_is_told_whether_store_is_unavailable(harness, timers, renewed):
    harness.ownership.is_renewed = lambda: renewed
    harness.loop.run_cycle()
    assert harness.cell.context.is_store_unavailable is not renewed


def test_ended_loop_runs_no_cycle_and_executes_nothing(harness, timers):
    harness.cell.journal.waiting, harness.cell.journal.is_urgent = ["a job"], True
    harness.cell.effects = ["an order"]
    harness.loop.end()
    harness.loop.apply_effects()
    harness.loop.run_cycle()
    timers.run(2 * FAR_FUTURE_MS)
    assert len(harness.cell.turns_ms) == 1
    assert not harness.pipeline.sent and not harness.performed


def test_cycle_lag_and_duration_are_recorded_and_work_is_shed(timers):
    load = OwnerLoad(link_mbps=0.0)
    seen = []
    load.record_cycle = lambda **span: seen.append(span)
    load.value = 0.7
    load_shedder = LoadShedder(load=load)
    load_shedder.update()
    cell, late_ms = FakeCell(), 300.0
    loop = SchedulingLoop(
        cell=cell,
        ownership=SimpleNamespace(is_renewed=lambda: True),
        pipeline=FakePipeline(),
        executor=SimpleNamespace(execute=lambda effects: None),
        timers=timers,
        worker_list_as_of_ms=lambda: 0.0,
        load_monitor=SimpleNamespace(load=load, load_shedder=load_shedder),
    )
    loop.run_cycle()
    assert cell.context.defers_idle_polls and not cell.context.defers_early_advice
    decide = cell.run_cycle

    def decide_for_long(now_ms):
        timers.now_ms += 50.0
        return decide(now_ms)

    cell.run_cycle = decide_for_long
    timers.now_ms += FAR_FUTURE_MS + late_ms
    timers.run(0)
    assert seen[-1] == {"lag_ms": late_ms, "busy_ms": 50.0}
