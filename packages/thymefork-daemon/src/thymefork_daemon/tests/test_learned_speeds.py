"""Tests of announcing learned machine speeds to possible next owners."""

from types import SimpleNamespace

import pytest

from thymefork_cells import LearnedSpeed
from thymefork_cells.estimates import ImageDurations, SpeedLearner, WorkerSpeeds
from thymefork_daemon import learned_speeds as module
from thymefork_daemon.learned_speeds import RETENTION_MS, LearnedSpeeds
from thymefork_net.peers import Heartbeat, MachineSpeed, OwnedCell, SpeedsLearned
from thymefork_net.peers.envelope import decode, encode

from .fakes import FakeMetrics

CELL = 0


@pytest.fixture
def now(monkeypatch):
    clock = SimpleNamespace(ms=1_000.0)
    monkeypatch.setattr(module, "steady_ms", lambda: clock.ms)
    return clock


@pytest.fixture
def daemon():
    return SimpleNamespace(owners={}, metrics=FakeMetrics())


def speed(machine, log_slowness):
    return LearnedSpeed(machine=machine, log_slowness=log_slowness)


def roundtrip(speeds):
    """Return the speeds of a heartbeat after encoding and decoding it."""
    heartbeat = Heartbeat(owned=[], config_version=1, leaving=False, speeds=speeds)
    return decode(encode(heartbeat), peer="edge-1").speeds


def test_announced_speeds_are_kept_by_receiver(now, daemon):
    local = LearnedSpeeds(daemon=daemon)
    local.announce(CELL, 3, [speed("m1", 0.357), speed("m2", -0.531)])
    remote = LearnedSpeeds(daemon=daemon)
    for message in roundtrip(local.take_unannounced()):
        remote.on_message(message)
    assert remote.of_cell(CELL) == local.of_cell(CELL)
    assert remote.of_cell(CELL)[1].log_slowness == pytest.approx(-0.531)
    assert remote.of_cell(CELL + 1) == []


def test_speeds_are_announced_once(now, daemon):
    local = LearnedSpeeds(daemon=daemon)
    local.announce(CELL, 3, [speed("m1", 0.357)])
    assert local.take_unannounced()
    assert local.take_unannounced() is None


def test_owner_ignores_speeds_of_earlier_epoch(now, daemon):
    local = LearnedSpeeds(daemon=daemon)
    local.announce(CELL, 3, [speed("m1", 0.4)])
    remote = LearnedSpeeds(daemon=SimpleNamespace(**vars(daemon)))
    remote._daemon.owners = {CELL: SimpleNamespace(epoch=4)}
    for message in local.take_unannounced():
        remote.on_message(message)
    assert remote.of_cell(CELL) == []


class SimulatedOwner:
    """Announce unchanged speeds to receivers for as long as it serves."""

    def __init__(self, clock, *, machines=12):
        self._clock = clock
        self._announced = []
        self._local = LearnedSpeeds(
            daemon=SimpleNamespace(owners={}, metrics=FakeMetrics())
        )
        names = [f"m{number}" for number in range(machines)]
        context = SimpleNamespace(
            workers={
                n: SimpleNamespace(machine=n, slowness=1.0, runs={}) for n in names
            },
            note=lambda event, **fields: None,
            count=lambda name, reason: None,
            emit=lambda effect: self._announced.append(effect.speeds),
        )
        self.learner = SpeedLearner(
            context=context, durations=ImageDurations(), speeds=WorkerSpeeds()
        )
        rows = [speed(n, 0.36 if i % 3 else -0.72) for i, n in enumerate(names)]
        self.learner.inherit(rows, now_ms=clock.ms)

    def serve(self, until_ms, receivers):
        while self._clock.ms < until_ms:
            self._clock.ms += 500.0
            self.learner.review(self._clock.ms)
            for speeds in self._announced:
                self._local.announce(CELL, 1, speeds)
            self._announced.clear()
            for message in roundtrip(self._local.take_unannounced()) or ():
                for receiver in receivers:
                    receiver.on_message(message)


@pytest.mark.parametrize(
    "after_ms", [RETENTION_MS - 1_000.0, RETENTION_MS + 60_000.0, 3e6]
)
def test_receiver_keeps_speeds_that_have_not_changed(now, daemon, after_ms):
    receiver = LearnedSpeeds(daemon=daemon)
    SimulatedOwner(now).serve(after_ms, [receiver])
    assert len(receiver.of_cell(CELL)) == 12


def test_speeds_are_announced_again_to_later_members(now, daemon):
    owner, receiver = SimulatedOwner(now), LearnedSpeeds(daemon=daemon)
    owner.serve(20_000.0, [])
    owner.serve(130_000.0, [receiver])
    assert len(receiver.of_cell(CELL)) == 12


def test_new_member_is_sent_speeds_of_owned_cells(now, daemon):
    local = LearnedSpeeds(daemon=daemon)
    assert local.of_owned_cells() is None
    local.announce(CELL, 3, [speed("m1", 0.357)])
    local.announce(CELL + 1, 3, [speed("m2", 0.357)])
    daemon.owners = {CELL: SimpleNamespace(epoch=3)}
    (message,) = roundtrip(local.of_owned_cells())
    assert (message.cell, message.epoch) == (CELL, 3)
    assert [row.machine for row in message.speeds] == ["m1"]


@pytest.mark.parametrize("announced_milli", [2**31 - 1, -(2**31)])
def test_implausible_speed_is_clamped(now, daemon, announced_milli):
    """It would make the takeover fail on each member that received it."""
    rows = [MachineSpeed(machine="m1", log_slowness_milli=announced_milli)]
    local = LearnedSpeeds(daemon=daemon)
    local.on_message(SpeedsLearned(cell=CELL, epoch=3, speeds=rows))
    assert abs(local.of_cell(CELL)[0].log_slowness) <= 3.0


def test_old_speeds_expire(now, daemon):
    local = LearnedSpeeds(daemon=daemon)
    local.announce(CELL, 3, [speed("m1", 0.4)])
    now.ms += RETENTION_MS + 1.0
    assert local.of_cell(CELL) == []


def test_number_of_kept_speeds_is_bounded(now, daemon, monkeypatch):
    monkeypatch.setattr(module, "MAX_SPEEDS_PER_CELL", 3)
    local = LearnedSpeeds(daemon=daemon)
    local.announce(CELL, 3, [speed(f"m{number}", 0.4) for number in range(5)])
    assert [row.machine for row in local.of_cell(CELL)] == ["m2", "m3", "m4"]


def test_heartbeat_is_compatible_without_speeds(now, daemon):
    """Older versions read the rest of a heartbeat that carries speeds."""
    owned = [OwnedCell(cell=0, epoch=1)]
    without = Heartbeat(owned=owned, config_version=1, leaving=False)
    local = LearnedSpeeds(daemon=daemon)
    local.announce(CELL, 3, [speed("m1", 0.4)])
    unannounced = local.take_unannounced()
    heartbeat = Heartbeat(
        owned=owned, config_version=1, leaving=False, speeds=unannounced
    )
    read = decode(encode(heartbeat), peer="edge-1")
    read.speeds = None
    assert read == without
