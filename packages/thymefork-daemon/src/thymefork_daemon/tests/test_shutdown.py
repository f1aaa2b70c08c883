"""Shutdown of instances, also during an outage of the store.

Nobody can take over cells in an outage. An owner that released them would lose unstored
run ends and stop renewing leases.
"""

from types import SimpleNamespace

import pytest

from thymefork_daemon import shutdown as shutdown_module
from thymefork_daemon.shutdown import Shutdown

from .fakes import FakeTimers, patch_clock

CLOCK_MODULES = (shutdown_module,)
GRACE_MS = 6_000.0


class FakeOwner:
    """Own a cell; records are unstored while `has_unstored_records` is set."""

    def __init__(self, log):
        self.has_unstored_records = True
        self.is_store_responding = True
        self.ended = False
        self._log = log

    def announce_ends(self):
        self._log.append("announced")

    def end(self, reason):
        self.ended = True
        self._log.append("ended")


@pytest.fixture
def daemon(timers):
    log = []
    daemon = SimpleNamespace(
        log=log,
        owners={0: FakeOwner(log)},
        timers=timers,
        settings=SimpleNamespace(stop_grace_ms=GRACE_MS),
        frontend=SimpleNamespace(
            server=SimpleNamespace(drain=lambda: None, open_requests=0)
        ),
        gateway=SimpleNamespace(open_requests=0),
        membership=SimpleNamespace(
            store_lost=False,
            leave=lambda on_done, *, permanent: log.append("left"),
        ),
        owned_cells=SimpleNamespace(update=lambda: None),
        peers=SimpleNamespace(send_heartbeats=lambda: None),
        directory=SimpleNamespace(refresh=lambda: None),
    )
    daemon.owner = daemon.owners[0]
    daemon.shutdown = Shutdown(daemon=daemon)
    return daemon


def test_cells_are_released_once_all_is_stored(daemon, timers):
    daemon.shutdown.begin()
    timers.run(100)
    assert not daemon.owner.ended
    daemon.owner.has_unstored_records = False
    timers.run(100)
    assert daemon.owner.ended and "left" in daemon.log


def test_busy_owner_releases_its_cells_soon(daemon, timers):
    daemon.shutdown.begin()
    timers.run(600)
    assert daemon.owner.ended and "left" in daemon.log


@pytest.mark.parametrize("unanswered_calls", ["joins", "appends"])
def test_owner_keeps_its_cells_while_the_store_is_unavailable(
    daemon, timers, unanswered_calls
):
    daemon.membership.store_lost = unanswered_calls == "joins"
    daemon.owner.is_store_responding = unanswered_calls != "appends"
    daemon.shutdown.begin()
    timers.run(4_000)
    assert not daemon.owner.ended
    assert not daemon.shutdown.is_complete()
    daemon.membership.store_lost = False
    daemon.owner.is_store_responding = True
    timers.run(100)
    assert not daemon.owner.ended  # its records are being stored
    daemon.owner.has_unstored_records = False
    timers.run(100)
    assert daemon.owner.ended and "left" in daemon.log
    assert daemon.shutdown.is_complete()


def test_idle_owner_without_the_store_keeps_its_cells(daemon, timers):
    """The leases of its running tasks have to be renewed."""
    daemon.owner.has_unstored_records = False
    daemon.membership.store_lost = True
    daemon.shutdown.begin()
    timers.run(3_000)
    assert not daemon.owner.ended


def test_owner_announces_run_ends_before_it_is_killed(daemon, timers):
    daemon.membership.store_lost = True
    daemon.shutdown.begin()
    timers.run(GRACE_MS - 600)
    assert daemon.log[:2] == ["announced", "ended"]
    timers.run(200)
    assert daemon.shutdown.is_complete()


def test_instance_that_lost_its_cells_does_not_wait(daemon, timers):
    daemon.membership.store_lost = True
    daemon.shutdown.begin()
    timers.run(1_000)
    daemon.owners.clear()
    timers.run(100)
    assert "left" in daemon.log


def test_instance_without_cells_leaves_at_once(monkeypatch):
    timers = FakeTimers()
    patch_clock(monkeypatch, timers, shutdown_module)
    left = []

    def leave(on_done, *, permanent):
        left.append(permanent)

    daemon = SimpleNamespace(
        owners={},
        timers=timers,
        settings=SimpleNamespace(stop_grace_ms=GRACE_MS),
        frontend=SimpleNamespace(server=SimpleNamespace(drain=lambda: None)),
        membership=SimpleNamespace(store_lost=True, leave=leave),
        owned_cells=SimpleNamespace(update=lambda: None),
    )
    Shutdown(daemon=daemon).begin()
    assert left == [True]
