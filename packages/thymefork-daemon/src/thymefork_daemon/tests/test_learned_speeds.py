"""What an owner has learned of its machines reaches whoever owns the cell next."""

from types import SimpleNamespace

import pytest

from thymefork_cells import LearnedSpeed
from thymefork_daemon import learned_speeds as module
from thymefork_daemon.learned_speeds import KEPT_MS, LearnedSpeeds
from thymefork_net.peers import Heartbeat, OwnedCell
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


def heard(speeds):
    """Return what a peer reads of a heartbeat that carries speeds."""
    beat = Heartbeat(owned=[], config_version=1, leaving=False, speeds=speeds)
    return decode(encode(beat), peer="edge-1").speeds


def test_what_one_instance_tells_another_keeps(now, daemon):
    here = LearnedSpeeds(daemon=daemon)
    here.tell(CELL, 3, [speed("m1", 0.357), speed("m2", -0.531)])
    there = LearnedSpeeds(daemon=daemon)
    for message in heard(here.take_untold()):
        there.on_message(message)
    assert there.of(CELL) == here.of(CELL)
    assert there.of(CELL)[1].log_slowness == pytest.approx(-0.531)
    assert there.of(CELL + 1) == []


def test_news_is_told_once(now, daemon):
    here = LearnedSpeeds(daemon=daemon)
    here.tell(CELL, 3, [speed("m1", 0.357)])
    assert here.take_untold()
    assert here.take_untold() is None


def test_an_owner_keeps_its_own_beside_the_word_of_an_earlier_one(now, daemon):
    here = LearnedSpeeds(daemon=daemon)
    here.tell(CELL, 3, [speed("m1", 0.4)])
    there = LearnedSpeeds(daemon=SimpleNamespace(**vars(daemon)))
    there._daemon.owners = {CELL: SimpleNamespace(epoch=4)}
    for message in here.take_untold():
        there.on_message(message)
    assert there.of(CELL) == []


def test_what_is_old_is_forgotten(now, daemon):
    here = LearnedSpeeds(daemon=daemon)
    here.tell(CELL, 3, [speed("m1", 0.4)])
    now.ms += KEPT_MS + 1.0
    assert here.of(CELL) == []


def test_what_is_kept_is_bounded(now, daemon, monkeypatch):
    monkeypatch.setattr(module, "MOST_KEPT", 3)
    here = LearnedSpeeds(daemon=daemon)
    here.tell(CELL, 3, [speed(f"m{number}", 0.4) for number in range(5)])
    assert [row.machine for row in here.of(CELL)] == ["m2", "m3", "m4"]


def test_a_heartbeat_without_news_is_as_before(now, daemon):
    """An instance from before reads the rest of a heartbeat that tells speeds."""
    owned = [OwnedCell(cell=0, epoch=1)]
    without = Heartbeat(owned=owned, config_version=1, leaving=False)
    here = LearnedSpeeds(daemon=daemon)
    here.tell(CELL, 3, [speed("m1", 0.4)])
    untold = here.take_untold()
    beat = Heartbeat(owned=owned, config_version=1, leaving=False, speeds=untold)
    read = decode(encode(beat), peer="edge-1")
    read.speeds = None
    assert read == without
