"""Which instances welcome callers, and which send them elsewhere at once."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import readiness as readiness_module
from thymefork_daemon.readiness import Readiness

CLOCKED = (readiness_module,)


@pytest.fixture
def shell(timers):
    shell = SimpleNamespace(
        configuration=object(),
        is_stopping=False,
        layout=SimpleNamespace(cells=1),
        settings=SimpleNamespace(orders_by_heartbeat=False),
        owners={},
        directory=SimpleNamespace(owner_of=lambda cell: "address"),
        links=SimpleNamespace(hears=lambda address, silence_ms: shell.hears),
        peers=SimpleNamespace(has_store=lambda address: shell.owner_has_store),
        owner_has_store=True,
        reads_store=True,
        hears=True,
    )
    return shell


def test_an_instance_that_hears_all_owners_is_ready(shell):
    assert Readiness(shell=shell).check()


def test_an_instance_that_reaches_neither_owner_nor_store_is_cut_off(shell, timers):
    """From cab-bogota-grown, trouble-1: callers of a cut hall came back to it."""
    readiness = Readiness(shell=shell)
    shell.hears = shell.reads_store = False
    assert not readiness.check()
    timers.run(2_400)
    assert not readiness.is_cut_off
    timers.run(200)
    assert readiness.is_cut_off
    shell.hears = True
    assert readiness.check() and not readiness.is_cut_off


def test_an_instance_that_reads_the_store_waits_for_an_owner(shell, timers):
    readiness = Readiness(shell=shell)
    shell.hears = False
    readiness.check()
    timers.run(5_000)
    assert not readiness.is_cut_off


def test_an_instance_whose_owner_has_lost_the_store_is_not_ready(shell, timers):
    """From wattle-tas, hunted days: a cut hall stayed in rotation with its owner."""
    readiness = Readiness(shell=shell)
    shell.owner_has_store = shell.reads_store = False
    assert not readiness.check()
    timers.run(5_000)
    # In an outage for all, callers that came back at once would use up their tries.
    assert not readiness.is_cut_off


@pytest.mark.parametrize("store_lost", [True, False])
def test_an_owner_is_ready_while_it_has_the_store(shell, store_lost):
    shell.owners = {0: SimpleNamespace(is_serving=True)}
    shell.membership = SimpleNamespace(store_lost=store_lost)
    assert Readiness(shell=shell).check() is not store_lost
