"""Calls to the advice service, spread over the instances."""

from types import SimpleNamespace

from thymefork_cells.effects import AskAdvice
from thymefork_daemon.owner import Advisers, advisers as advisers_module

from .fakes import FakeMetrics

CLOCKED = (advisers_module,)

NAMES = [f"edge-{number}" for number in range(10)]


class FakeLink:
    def __init__(self, name):
        self.peer = SimpleNamespace(instance=name)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def make(timers, links, turn):
    advisers = Advisers(
        client=None,
        timers=timers,
        metrics=FakeMetrics(),
        instance="edge-own",
        turn=turn,
        on_answer=lambda *answer: None,
    )
    advisers.update(links)
    return advisers


def long_call():
    step = SimpleNamespace(name="s", job=SimpleNamespace(is_live=True))
    return AskAdvice(step=step, worker_ids=("w",), cost_ms=900.0, priority=1)


def test_two_owners_begin_with_different_instances(timers):
    """From cab-bogota-grown, scale-2: a harvest waited 12 s for its tickets (LOST)."""
    links = [FakeLink(name) for name in NAMES]
    for turn in (0.0, 0.5):
        advisers = make(timers, links, turn)
        for _ in range(4):
            advisers.ask(long_call())
    assert max(len(link.sent) for link in links) == 1


def test_a_call_waits_for_another_owners_call_at_the_same_instance(timers):
    links = [FakeLink("edge-0")]
    advisers = make(timers, links, 0.0)
    advisers.ask(long_call())
    advisers.ask(long_call())
    timers.run(2 * 900)  # both calls of two owners, one after the other
    assert len(links[0].sent) == 1


def test_a_call_of_the_last_queue_is_made_though_urgent_ones_never_cease(timers):
    """From an overload by one kind of request: a step was never asked for (LOST)."""
    links = [FakeLink(name) for name in NAMES]
    advisers = make(timers, links, 0.0)
    for _ in range(20):
        advisers.ask(long_call())
    step = SimpleNamespace(name="late", job=SimpleNamespace(is_live=True))
    advisers.ask(AskAdvice(step=step, worker_ids=("w",), cost_ms=900.0, priority=2))
    for _ in range(12):
        timers.run(250)
        advisers.ask(long_call())
        for link in links:
            if link.sent:
                reply = SimpleNamespace(
                    call_id=link.sent[-1].call_id,
                    answered=True,
                    tickets=[],
                    valid_ms=2_000,
                )
                advisers.on_reply(reply)
                advisers.ask(long_call())
    asked = [message.step for link in links for message in link.sent]
    assert "late" in asked
