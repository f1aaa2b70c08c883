"""Tests of an owner whose ownership has ended."""

from types import SimpleNamespace

import pytest

from thymefork_daemon.owner import CellOwner, advice_dispatcher as dispatcher_module

from .fakes import FakeMetrics, FakeStore, capacity_attributes
from .test_advice_dispatcher import FakeAdviceClient, FakeLink, advice_call, reply_to

CLOCK_MODULES = (dispatcher_module,)


@pytest.fixture
def daemon(timers):
    return SimpleNamespace(
        store=FakeStore(),
        timers=timers,
        metrics=FakeMetrics(),
        **capacity_attributes(),
        advice=FakeAdviceClient(),
        workers=None,
        membership=None,
        settings=SimpleNamespace(instance="edge-9"),
        lease_notices=SimpleNamespace(announce=lambda cell, notice: None),
        layout=SimpleNamespace(cells=1, partition_of=lambda cell: cell),
    )


@pytest.fixture
def owner_with_calls(daemon):
    """Return an owner with one advice call in flight and one waiting."""
    owner = CellOwner(cell_index=0, epoch=1, daemon=daemon)
    link = FakeLink("edge-0")
    owner._advice_dispatcher.update([link])
    owner._advice_dispatcher.ask(advice_call("in flight"))
    owner._advice_dispatcher.ask(advice_call("waiting"))
    assert [message.step for message in link.sent] == ["in flight"]
    return owner, link


def test_ended_owner_makes_no_advice_calls(owner_with_calls, timers):
    """Guards against calls that delay those of the next owner."""
    owner, link = owner_with_calls
    owner.end("test")
    owner.on_advice_reply(reply_to(link.sent[0]))
    timers.run(10_000)
    assert [message.step for message in link.sent] == ["in flight"]


def test_ended_owner_has_no_call_timeouts(owner_with_calls, timers):
    owner, link = owner_with_calls
    owner.end("test")
    timers.run(10_000)
    assert [message.step for message in link.sent] == ["in flight"]
    assert not [row for row in owner.metrics.counts if row[0] == "retries"]
