"""Which instances welcome callers, and which send them elsewhere at once."""

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


def test_an_instance_that_hears_all_owners_is_ready(daemon):
    assert Readiness(daemon=daemon).check()


def test_an_instance_that_reaches_neither_owner_nor_store_is_cut_off(daemon, timers):
    """From cab-bogota-grown, trouble-1: callers of a cut hall came back to it."""
    readiness = Readiness(daemon=daemon)
    daemon.is_responsive = daemon.can_read_store = False
    assert not readiness.check()
    timers.run(2_400)
    assert not readiness.is_disconnected
    timers.run(200)
    assert readiness.is_disconnected
    daemon.is_responsive = True
    assert readiness.check() and not readiness.is_disconnected


def test_an_instance_that_reads_the_store_waits_for_an_owner(daemon, timers):
    readiness = Readiness(daemon=daemon)
    daemon.is_responsive = False
    readiness.check()
    timers.run(5_000)
    assert not readiness.is_disconnected


def test_an_instance_whose_owner_has_lost_the_store_is_not_ready(daemon, timers):
    """From wattle-tas, hunted days: a cut hall stayed in rotation with its owner."""
    readiness = Readiness(daemon=daemon)
    daemon.owner_has_store = daemon.can_read_store = False
    assert not readiness.check()
    timers.run(5_000)
    # In an outage for all, callers that came back at once would use up their tries.
    assert not readiness.is_disconnected


@pytest.mark.parametrize("store_lost", [True, False])
def test_an_owner_is_ready_while_it_has_the_store(daemon, store_lost):
    daemon.owners = {0: SimpleNamespace(is_serving=True)}
    daemon.membership = SimpleNamespace(store_lost=store_lost)
    assert Readiness(daemon=daemon).check() is not store_lost
