"""Readiness of instances, and when disconnected ones send callers elsewhere."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import readiness as readiness_module
from thymefork_daemon.readiness import Readiness

CLOCK_MODULES = (readiness_module,)


@pytest.fixture
def daemon(timers):
    daemon = SimpleNamespace(
        configuration=object(),
        is_stopping=False,
        layout=SimpleNamespace(cells=1),
        settings=SimpleNamespace(commands_by_heartbeat=False),
        owners={},
        directory=SimpleNamespace(owner_of=lambda cell: "address"),
        links=SimpleNamespace(
            is_responsive=lambda address, silence_ms: daemon.is_responsive
        ),
        peers=SimpleNamespace(has_store=lambda address: daemon.owner_has_store),
        owner_has_store=True,
        can_read_store=True,
        is_responsive=True,
    )
    return daemon


def test_instance_with_responsive_owners_is_ready(daemon):
    assert Readiness(daemon=daemon).check()


def test_instance_without_owners_and_store_is_disconnected(daemon, timers):
    """Guards against callers that return to a disconnected hall."""
    readiness = Readiness(daemon=daemon)
    daemon.is_responsive = daemon.can_read_store = False
    assert not readiness.check()
    timers.run(2_400)
    assert not readiness.is_disconnected
    timers.run(200)
    assert readiness.is_disconnected
    daemon.is_responsive = True
    assert readiness.check() and not readiness.is_disconnected


def test_instance_that_reads_the_store_is_not_disconnected(daemon, timers):
    readiness = Readiness(daemon=daemon)
    daemon.is_responsive = False
    readiness.check()
    timers.run(5_000)
    assert not readiness.is_disconnected


def test_instance_is_not_ready_while_its_owner_lacks_the_store(daemon, timers):
    """Guards against a disconnected hall that stays in rotation with its owner."""
    readiness = Readiness(daemon=daemon)
    daemon.owner_has_store = daemon.can_read_store = False
    assert not readiness.check()
    timers.run(5_000)
    # In an outage for all, retrying at once would use up the callers' retries.
    assert not readiness.is_disconnected


@pytest.mark.parametrize("store_lost", [True, False])
def test_owner_is_ready_only_while_it_has_the_store(daemon, store_lost):
    daemon.owners = {0: SimpleNamespace(is_serving=True)}
    daemon.membership = SimpleNamespace(store_lost=store_lost)
    assert Readiness(daemon=daemon).check() is not store_lost
