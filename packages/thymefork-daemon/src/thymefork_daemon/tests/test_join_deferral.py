"""Tests of instances that defer their join until the owner has joined."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import join_deferral as join_deferral_module
from thymefork_daemon.join_deferral import JoinDeferral

CLOCK_MODULES = (join_deferral_module,)


@pytest.fixture
def daemon():
    daemon = SimpleNamespace(
        owners={},
        layout=SimpleNamespace(cells=2),
        directory=SimpleNamespace(owner_of=lambda cell: f"owner-{cell}"),
        readiness=SimpleNamespace(are_owners_responsive=True),
        peers=SimpleNamespace(has_store=lambda address: address not in daemon.without),
        store_readable_since_ms=None,
        without={"owner-1"},
        membership=SimpleNamespace(in_group=True),
    )
    return daemon


def test_member_waits_for_owner_without_store(daemon, timers):
    assert JoinDeferral(daemon=daemon).must_wait()


def test_member_joins_after_owner(daemon, timers):
    daemon.without.clear()
    assert not JoinDeferral(daemon=daemon).must_wait()


def test_owner_does_not_wait(daemon, timers):
    daemon.owners = {0: object()}
    assert not JoinDeferral(daemon=daemon).must_wait()


def test_no_wait_for_owner_without_heartbeats(daemon, timers):
    daemon.readiness.are_owners_responsive = False
    assert not JoinDeferral(daemon=daemon).must_wait()


def test_wait_for_owner_without_store_is_bounded(daemon, timers):
    deferral = JoinDeferral(daemon=daemon)
    daemon.store_readable_since_ms = timers.now_ms
    timers.run(300)
    assert deferral.must_wait()
    timers.run(200)
    assert not deferral.must_wait()


class NewInstance:
    """An instance started during a store outage, or without one.

    Its join must not be carried out before the owner's: it would be assigned the cell,
    and the run ends that the owner received in the outage would be lost.
    """

    def __init__(self, daemon, timers):
        self.daemon = daemon
        self.timers = timers
        daemon.layout.cells = 0
        daemon.readiness.are_owners_responsive = False
        daemon.membership = SimpleNamespace(in_group=False)
        self._deferral = JoinDeferral(daemon=daemon)

    def answer_read(self):
        self.daemon.store_readable_since_ms = self.timers.now_ms

    def must_wait(self):
        return self._deferral.must_wait()


@pytest.fixture
def new_instance(daemon, timers):
    return NewInstance(daemon, timers)


def test_new_instance_does_not_join_while_store_is_unavailable(new_instance, timers):
    """The store may carry out an unanswered join once it is available again."""
    for _ in range(100):
        assert new_instance.must_wait()
        timers.run(50)


def test_new_instance_joins_after_owners_join_timeout(new_instance, timers):
    assert new_instance.must_wait()
    timers.run(2_000)
    new_instance.answer_read()
    timers.run(300)
    assert new_instance.must_wait()
    timers.run(200)
    assert not new_instance.must_wait()


def test_new_instance_does_not_wait_without_outage(new_instance, timers):
    assert new_instance.must_wait()
    timers.run(10)
    new_instance.answer_read()
    assert not new_instance.must_wait()


def test_standby_does_not_wait_while_store_is_available(new_instance, timers):
    new_instance.answer_read()
    timers.run(5_000)
    assert not new_instance.must_wait()
