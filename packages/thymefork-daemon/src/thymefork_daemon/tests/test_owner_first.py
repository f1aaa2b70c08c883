"""Which instances wait with their join until the owner has joined."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import owner_first as owner_first_module
from thymefork_daemon.owner_first import OwnerFirst

CLOCKED = (owner_first_module,)


@pytest.fixture
def daemon():
    daemon = SimpleNamespace(
        owners={},
        layout=SimpleNamespace(cells=2),
        directory=SimpleNamespace(owner_of=lambda cell: f"owner-{cell}"),
        readiness=SimpleNamespace(hears_owners=True),
        peers=SimpleNamespace(has_store=lambda address: address not in daemon.without),
        store_answers_since_ms=None,
        without={"owner-1"},
    )
    return daemon


def test_an_instance_waits_for_an_owner_that_waits_for_the_store(daemon, timers):
    assert OwnerFirst(daemon=daemon).waits()


def test_an_instance_joins_once_the_owner_has(daemon, timers):
    daemon.without.clear()
    assert not OwnerFirst(daemon=daemon).waits()


def test_an_owner_does_not_wait(daemon, timers):
    daemon.owners = {0: object()}
    assert not OwnerFirst(daemon=daemon).waits()


def test_nobody_waits_for_an_owner_that_is_not_heard(daemon, timers):
    daemon.readiness.hears_owners = False
    assert not OwnerFirst(daemon=daemon).waits()


def test_nobody_waits_long_for_an_owner_that_is_cut_off_by_itself(daemon, timers):
    first = OwnerFirst(daemon=daemon)
    daemon.store_answers_since_ms = timers.now_ms
    timers.run(300)
    assert first.waits()
    timers.run(200)
    assert not first.waits()
