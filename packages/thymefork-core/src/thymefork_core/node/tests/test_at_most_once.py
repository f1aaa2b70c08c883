"""Work that must not be repeated, when its attempt is lost."""

import pytest
from attrs import evolve

from thymefork_core.ledger import HallLedger, Start
from thymefork_core.model import Outcome
from thymefork_core.node import messages as m
from thymefork_core.reasons import Reason

from .conftest import make_spec


def lose_the_attempt(world):
    """Let a worker lose what it runs, as a restarted one does."""
    spec = make_spec(world, "once", at_most_once=True, run_ms=5000)
    world.tell("h-1", m.SubmitRequest(request_id="r", specs=(spec,)))
    world.run(1000)
    for worker in world.workers.values():
        worker.running.clear()
        worker.ends_at_ms.clear()
    world.run(20_000)


def test_lost_attempt_is_not_repeated(world):
    lose_the_attempt(world)
    assert world.starts_of("once") == ["once/0/1"]
    (answer,) = world.answers["once"]
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, Reason.LOST)


def test_lost_attempt_is_repeated_without_the_guard(world, monkeypatch):
    fold = HallLedger._verdict

    def unmarked(self, record, entry):
        if isinstance(entry, Start):
            entry = evolve(entry, at_most_once=False)
        return fold(self, record, entry)

    monkeypatch.setattr(HallLedger, "_verdict", unmarked)
    lose_the_attempt(world)
    assert len(world.starts_of("once")) > 1


@pytest.mark.parametrize("times", [1, 3])
def test_start_that_was_never_sent_is_tried_again(world, times):
    world.closed_workers.update(world.workers)
    spec = make_spec(world, "once", at_most_once=True)
    world.tell("h-1", m.SubmitRequest(request_id="r", specs=(spec,)))
    world.run(300 * times)
    world.closed_workers.clear()
    world.run(5000)
    assert len(world.starts_of("once")) == 1
    assert world.answers["once"][0].outcome is Outcome.DONE
