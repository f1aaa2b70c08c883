"""Requests that certainly reached no owner are called not run, and only those.

A caller may hand in again what was not run, elsewhere or later; what is in doubt it
can only ask about. Each case was answered 504 though nobody had taken it.
"""

import pytest

from thymefork_cells import effects as fx
from thymefork_daemon import (
    gateway as gateway_module,
    pending_request as pending_request_module,
)

from .test_gateway import (
    OWNER,
    SUCCESSOR,
    FakeOwner,
    ask,
    heartbeat,
    heartbeat_of_successor,
    make_daemon,
)

CLOCK_MODULES = (gateway_module, pending_request_module)

NOT_OWNER = fx.Reply(request_id=None, outcome=fx.Outcome.NOT_OWNER)
KINDS = ["submit", "cancel"]


@pytest.fixture
def daemon(timers):
    return make_daemon(timers)


def outcome_of(replies):
    (reply,) = replies
    return reply.outcome


@pytest.mark.parametrize("kind", KINDS)
def test_a_link_that_never_came_about_has_carried_nothing(daemon, timers, kind):
    daemon.directory.known[0] = OWNER
    daemon.link.keeps_all = True
    gateway, replies = ask(daemon, timers, kind=kind)
    gateway.on_link_broken(daemon.link)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED
    assert replies[0].retry_after_ms > 0


def test_a_request_behind_others_that_never_left_was_not_taken(daemon, timers):
    """The link had carried other messages before it stood still."""
    daemon.directory.known[0] = OWNER
    daemon.link.send("a heartbeat")
    daemon.link.keeps_all = True
    gateway, replies = ask(daemon, timers)
    gateway.on_link_broken(daemon.link)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


def test_a_request_of_which_a_part_has_left_is_in_doubt(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    daemon.link.kept_bytes = 1
    daemon.link.bytes_each = 2
    gateway.on_link_broken(daemon.link)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


def test_what_waits_on_an_open_link_may_yet_leave(daemon, timers):
    daemon.directory.known[0] = OWNER
    daemon.link.keeps_all = True
    _, replies = ask(daemon, timers)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


@pytest.mark.parametrize("kind", KINDS)
def test_who_says_late_that_it_is_no_owner_has_not_taken_it(daemon, timers, kind):
    """The successor was heard first, and the request had another number by then."""
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers, kind=kind)
    gateway.on_heartbeat(daemon.successor, heartbeat_of_successor())
    gateway._on_reply(daemon.link.sent[0].call_id, NOT_OWNER)
    gateway._on_reply(daemon.successor.sent[0].call_id, NOT_OWNER)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


def test_one_owner_of_two_may_have_taken_it(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.successor, heartbeat_of_successor())
    gateway._on_reply(daemon.successor.sent[0].call_id, NOT_OWNER)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


def test_a_word_that_is_told_twice_counts_once(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.successor, heartbeat_of_successor())
    for _ in range(2):
        gateway._on_reply(daemon.link.sent[0].call_id, NOT_OWNER)
    gateway.on_link_broken(daemon.successor)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


def test_a_first_owner_that_may_have_it_keeps_it_in_doubt(daemon, timers):
    """The second link never came about; the first had carried it."""
    daemon.directory.known[0] = OWNER
    daemon.successor.keeps_all = True
    gateway, replies = ask(daemon, timers)
    gateway.on_link_broken(daemon.link)
    daemon.directory.known[0] = SUCCESSOR
    timers.run(100)
    assert daemon.successor.sent
    gateway.on_link_broken(daemon.successor)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


def test_an_old_link_that_never_carried_it_is_no_doubt(daemon, timers):
    daemon.directory.known[0] = OWNER
    daemon.link.keeps_all = True
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.successor, heartbeat_of_successor())
    gateway.on_link_broken(daemon.link)
    gateway._on_reply(daemon.successor.sent[0].call_id, NOT_OWNER)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


@pytest.mark.parametrize("kind", ["read", "count"])
def test_what_changes_nothing_is_never_in_doubt(daemon, timers, kind):
    daemon.owners[0] = FakeOwner()
    _, replies = ask(daemon, timers, kind=kind)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


def test_an_ownership_that_ended_here_before_it_stored_anything(daemon, timers):
    """It tells so of what it never began to store; that is as if it had not come."""
    daemon.owners[0] = owner = FakeOwner()
    _, replies = ask(daemon, timers)
    daemon.owners.clear()
    owner.requests[0](NOT_OWNER)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


def test_nothing_is_kept_of_requests_that_were_answered(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, _ = ask(daemon, timers)
    for epoch in (1, 2, 3):
        gateway.on_heartbeat(daemon.link, heartbeat(epoch))
    timers.run(3_000)
    assert not gateway.open_requests
    assert not gateway._earlier_call_ids


def test_an_owner_is_told_how_long_the_caller_still_waits(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, _ = ask(daemon, timers)
    timers.run(500)
    gateway.on_heartbeat(daemon.successor, heartbeat_of_successor())
    told = [link.sent[0].patience_ms for link in (daemon.link, daemon.successor)]
    assert told == [2_500, 2_000]


def test_an_owner_that_is_asked_here_is_told_it_too(daemon, timers):
    daemon.owners[0] = owner = FakeOwner()
    ask(daemon, timers)
    assert owner.options["patience_ms"] == 2_500
