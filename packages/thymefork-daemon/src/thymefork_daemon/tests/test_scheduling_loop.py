"""Turns of a cell: events come together, records wait for others, effects run."""

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
FAR_MS = 1_000.0


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

    def run_cycle(self, now_ms):
        self.turns_ms.append(now_ms)
        return now_ms + FAR_MS

    def take_effects(self):
        effects, self.effects = self.effects, []
        return effects

    def on_stored(self, batch):
        self.stored.append(batch)

    def on_not_stored(self, batch, *, now_ms):
        self.not_stored.append(batch)


class FakePump:
    next_send_ms = 0.0
    is_store_unavailable = False

    def __init__(self):
        self.sent = []
        self.cleared = 0

    def send(self, batch, on_stored, on_not_stored):
        self.sent.append((batch, on_stored, on_not_stored))

    def reset_failure(self):
        self.cleared += 1


@pytest.fixture
def parts(timers):
    cell, pump, performed = FakeCell(), FakePump(), []
    ownership = SimpleNamespace(is_renewed=lambda: True)
    loop = SchedulingLoop(
        cell=cell,
        ownership=ownership,
        pump=pump,
        executor=SimpleNamespace(execute=performed.extend),
        timers=timers,
        worker_list_as_of_ms=lambda: 0.0,
    )
    loop.run_cycle()
    return SimpleNamespace(
        loop=loop, cell=cell, pump=pump, performed=performed, ownership=ownership
    )


def test_events_that_come_together_share_a_turn(parts, timers):
    parts.cell.effects = ["first"]
    parts.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS / 2)
    parts.cell.effects = ["second"]
    parts.loop.apply_effects()
    assert parts.performed == ["first", "second"]
    assert len(parts.cell.turns_ms) == 1
    timers.run(CYCLE_DELAY_MS / 2)
    assert len(parts.cell.turns_ms) == 2
    timers.run(CYCLE_DELAY_MS)
    assert len(parts.cell.turns_ms) == 2


def test_without_events_the_next_turn_comes_when_the_cell_wants_it(parts, timers):
    timers.run(FAR_MS - 1)
    assert len(parts.cell.turns_ms) == 1
    timers.run(1)
    assert len(parts.cell.turns_ms) == 2


def test_a_turn_that_fails_is_followed_by_another(parts, timers):
    def fail(now_ms):
        parts.cell.run_cycle = FakeCell.run_cycle.__get__(parts.cell)
        raise ArithmeticError

    parts.cell.run_cycle = fail
    parts.loop.apply_effects()
    with pytest.raises(ArithmeticError):
        timers.run(CYCLE_DELAY_MS)
    timers.run(FAR_MS)
    assert len(parts.cell.turns_ms) >= 2


def test_records_that_nobody_waits_for_wait_for_others(parts, timers):
    parts.cell.journal.waiting = ["an end"]
    parts.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS + LINGER_MS - 1)
    assert not parts.pump.sent
    timers.run(1)
    assert len(parts.pump.sent) == 1


@pytest.mark.parametrize("reason", ["is_urgent", "store_is_away"])
def test_other_records_are_stored_at_the_next_turn(parts, timers, reason):
    parts.cell.journal.waiting = ["a job"]
    parts.cell.journal.is_urgent = reason == "is_urgent"
    parts.pump.is_store_unavailable = reason == "store_is_away"
    parts.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    assert len(parts.pump.sent) == 1


def test_one_append_at_a_time(parts, timers):
    parts.cell.journal.waiting, parts.cell.journal.is_urgent = ["a job"], True
    parts.pump.next_send_ms = None
    parts.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    assert not parts.pump.sent


def test_a_batch_leaves_beside_another_as_soon_as_the_pump_takes_it(parts, timers):
    parts.pump.next_send_ms = timers.now_ms + 80.0
    parts.cell.journal.waiting, parts.cell.journal.is_urgent = ["a job"], True
    parts.loop.apply_effects()
    timers.run(79)
    assert not parts.pump.sent
    timers.run(1)
    assert len(parts.pump.sent) == 1


def test_batches_that_come_back_together_are_followed_by_one_after_a_while(
    parts, timers
):
    for effect in ("first", "second"):
        parts.cell.journal.waiting, parts.cell.journal.is_urgent = [effect], True
        parts.loop.apply_effects()
        timers.run(CYCLE_DELAY_MS)
    assert len(parts.pump.sent) == 2
    for batch, _, on_not_stored in reversed(parts.pump.sent):
        on_not_stored(batch)
    assert [batch.effects for batch in parts.cell.not_stored] == [["second"], ["first"]]
    parts.cell.journal.waiting = ["both"]
    timers.run(STORE_RETRY_DELAY_MS - 1)
    assert len(parts.pump.sent) == 2
    timers.run(1 + CYCLE_DELAY_MS)
    assert len(parts.pump.sent) == 3


def test_what_follows_an_append_happens_once_it_is_stored(parts, timers):
    parts.cell.journal.waiting, parts.cell.journal.is_urgent = ["a reply"], True
    parts.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    batch, on_stored, _ = parts.pump.sent[0]
    assert not parts.performed
    on_stored(batch)
    assert parts.cell.stored == [batch] and parts.performed == ["a reply"]


def test_after_an_append_that_was_turned_away_the_next_one_waits(parts, timers):
    parts.cell.journal.waiting, parts.cell.journal.is_urgent = ["a job"], True
    parts.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    batch, _, on_not_stored = parts.pump.sent[0]
    on_not_stored(batch)
    assert parts.cell.not_stored == [batch]
    parts.cell.journal.waiting = ["another job"]
    parts.loop.apply_effects()
    timers.run(STORE_RETRY_DELAY_MS - 1)
    assert len(parts.pump.sent) == 1
    timers.run(1 + CYCLE_DELAY_MS)
    assert len(parts.pump.sent) == 2 and not parts.pump.cleared


def test_the_next_request_finds_out_whether_the_store_is_back(parts, timers):
    parts.cell.journal.waiting, parts.cell.journal.is_urgent = ["a job"], True
    parts.loop.apply_effects()
    timers.run(CYCLE_DELAY_MS)
    batch, _, on_not_stored = parts.pump.sent[0]
    on_not_stored(batch)
    timers.run(STORE_RETRY_DELAY_MS)
    assert parts.pump.cleared == 1


@pytest.mark.parametrize("renewed", [True, False])
def test_the_cell_knows_whether_the_store_is_away(parts, timers, renewed):
    parts.ownership.is_renewed = lambda: renewed
    parts.loop.run_cycle()
    assert parts.cell.context.is_store_unavailable is not renewed


def test_an_ended_loop_takes_no_turn_and_performs_nothing(parts, timers):
    parts.cell.journal.waiting, parts.cell.journal.is_urgent = ["a job"], True
    parts.cell.effects = ["an order"]
    parts.loop.end()
    parts.loop.apply_effects()
    parts.loop.run_cycle()
    timers.run(2 * FAR_MS)
    assert len(parts.cell.turns_ms) == 1
    assert not parts.pump.sent and not parts.performed


def test_late_and_long_turns_are_told_and_what_waits_is_put_off(timers):
    """A turn that is 300 ms late and takes 50 is the owner's to see."""
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
        pump=FakePump(),
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
    timers.now_ms += FAR_MS + late_ms
    timers.run(0)
    assert seen[-1] == {"lag_ms": late_ms, "busy_ms": 50.0}
