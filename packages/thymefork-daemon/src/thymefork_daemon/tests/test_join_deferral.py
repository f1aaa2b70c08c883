"""Which instances wait with their join until the owner has joined."""

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
        readiness=SimpleNamespace(hears_all_owners=True),
        peers=SimpleNamespace(has_store=lambda address: address not in daemon.without),
        store_readable_since_ms=None,
        without={"owner-1"},
        membership=SimpleNamespace(in_group=True),
    )
    return daemon


def test_an_instance_waits_for_an_owner_that_waits_for_the_store(daemon, timers):
    assert JoinDeferral(daemon=daemon).must_wait()


def test_an_instance_joins_once_the_owner_has(daemon, timers):
    daemon.without.clear()
    assert not JoinDeferral(daemon=daemon).must_wait()


def test_an_owner_does_not_wait(daemon, timers):
    daemon.owners = {0: object()}
    assert not JoinDeferral(daemon=daemon).must_wait()


def test_nobody_waits_for_an_owner_that_is_not_heard(daemon, timers):
    daemon.readiness.hears_all_owners = False
    assert not JoinDeferral(daemon=daemon).must_wait()


def test_nobody_waits_long_for_an_owner_that_is_cut_off_by_itself(daemon, timers):
    deferral = JoinDeferral(daemon=daemon)
    daemon.store_readable_since_ms = timers.now_ms
    timers.run(300)
    assert deferral.must_wait()
    timers.run(200)
    assert not deferral.must_wait()


class NewInstance:
    """An instance that was started in an outage, or without one.

    The story, from the large deployment's day scale-2: an instance was started while
    the store was silent. It knew no owner to wait for, so its join was the first one
    answered, and the cell was dealt to it. The owner, which had come through the whole
    outage, lost it with all that it had heard. In the logs of four plays
    `takeover_begins` comes right after the outage in two, each time from an instance
    that was `started` in it.
    """

    def __init__(self, daemon, timers):
        self.daemon = daemon
        self.timers = timers
        daemon.layout.cells = 0
        daemon.readiness.hears_all_owners = False
        daemon.membership = SimpleNamespace(in_group=False)
        self._deferral = JoinDeferral(daemon=daemon)

    def answer_read(self):
        self.daemon.store_readable_since_ms = self.timers.now_ms

    def must_wait(self):
        return self._deferral.must_wait()


@pytest.fixture
def new_instance(daemon, timers):
    return NewInstance(daemon, timers)


def test_a_newcomer_sends_no_join_while_the_store_is_away(new_instance, timers):
    """A join without an answer may be carried out on the store's return."""
    for _ in range(100):
        assert new_instance.must_wait()
        timers.run(50)


def test_a_newcomer_joins_after_the_owner_had_time_to(new_instance, timers):
    assert new_instance.must_wait()
    timers.run(2_000)
    new_instance.answer_read()
    timers.run(300)
    assert new_instance.must_wait()
    timers.run(200)
    assert not new_instance.must_wait()


def test_a_newcomer_that_is_answered_at_once_does_not_wait(new_instance, timers):
    assert new_instance.must_wait()
    timers.run(10)
    new_instance.answer_read()
    assert not new_instance.must_wait()


def test_one_that_steps_in_later_while_the_store_answers_does_not_wait(
    new_instance, timers
):
    new_instance.answer_read()
    timers.run(5_000)
    assert not new_instance.must_wait()
