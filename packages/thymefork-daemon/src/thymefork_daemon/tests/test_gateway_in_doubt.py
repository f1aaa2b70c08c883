"""Requests are refused only if they certainly reached no owner.

Callers may safely retry refused requests; they cannot retry those in doubt.
"""

import pytest

from thymefork_cells import effects as fx
from thymefork_daemon import (
    gateway as gateway_module,
    pending_request as pending_request_module,
)

from .test_gateway import (
    NEXT_OWNER,
    OWNER,
    FakeOwner,
    ask,
    heartbeat,
    heartbeat_of_next_owner,
    make_daemon,
)

CLOCK_MODULES = (gateway_module, pending_request_module)

NOT_OWNER = fx.Reply(reply_to=None, outcome=fx.Outcome.NOT_OWNER)
KINDS = ["submit", "cancel"]


@pytest.fixture
def daemon(timers):
    return make_daemon(timers)


def outcome_of(replies):
    (reply,) = replies
    return reply.outcome


@pytest.mark.parametrize("kind", KINDS)
def test_request_on_a_link_that_never_connected_is_refused(daemon, timers, kind):
    daemon.directory.known[0] = OWNER
    daemon.link.keeps_all_bytes = True
    gateway, replies = ask(daemon, timers, kind=kind)
    gateway.on_link_broken(daemon.link)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED
    assert replies[0].retry_after_ms > 0


def test_request_that_never_left_a_used_link_is_refused(daemon, timers):
    """The link has carried other messages before it stalled."""
    daemon.directory.known[0] = OWNER
    daemon.link.send("a heartbeat")
    daemon.link.keeps_all_bytes = True
    gateway, replies = ask(daemon, timers)
    gateway.on_link_broken(daemon.link)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


def test_partly_sent_request_is_in_doubt(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    daemon.link.kept_bytes = 1
    daemon.link.bytes_each = 2
    gateway.on_link_broken(daemon.link)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


def test_request_queued_on_an_open_link_is_in_doubt(daemon, timers):
    daemon.directory.known[0] = OWNER
    daemon.link.keeps_all_bytes = True
    _, replies = ask(daemon, timers)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


@pytest.mark.parametrize("kind", KINDS)
def test_late_not_owner_reply_makes_request_refusable(daemon, timers, kind):
    """The next owner was heard first, and the request has another call id by then."""
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers, kind=kind)
    gateway.on_heartbeat(daemon.next_owner, heartbeat_of_next_owner())
    gateway._on_reply(daemon.link.sent[0].call_id, NOT_OWNER)
    gateway._on_reply(daemon.next_owner.sent[0].call_id, NOT_OWNER)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


def test_one_of_two_not_owner_replies_leaves_outcome_unknown(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.next_owner, heartbeat_of_next_owner())
    gateway._on_reply(daemon.next_owner.sent[0].call_id, NOT_OWNER)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


def test_repeated_not_owner_reply_counts_once(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.next_owner, heartbeat_of_next_owner())
    for _ in range(2):
        gateway._on_reply(daemon.link.sent[0].call_id, NOT_OWNER)
    gateway.on_link_broken(daemon.next_owner)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


def test_first_owner_keeps_the_request_in_doubt(daemon, timers):
    """The second link never connected, but the first has carried the request."""
    daemon.directory.known[0] = OWNER
    daemon.next_owner.keeps_all_bytes = True
    gateway, replies = ask(daemon, timers)
    gateway.on_link_broken(daemon.link)
    daemon.directory.known[0] = NEXT_OWNER
    timers.run(100)
    assert daemon.next_owner.sent
    gateway.on_link_broken(daemon.next_owner)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.IN_DOUBT


def test_unsent_request_on_previous_link_is_refused(daemon, timers):
    daemon.directory.known[0] = OWNER
    daemon.link.keeps_all_bytes = True
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.next_owner, heartbeat_of_next_owner())
    gateway.on_link_broken(daemon.link)
    gateway._on_reply(daemon.next_owner.sent[0].call_id, NOT_OWNER)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


@pytest.mark.parametrize("kind", ["read", "count"])
def test_read_only_requests_are_never_in_doubt(daemon, timers, kind):
    daemon.owners[0] = FakeOwner()
    _, replies = ask(daemon, timers, kind=kind)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


def test_local_owner_that_ended_before_storing_leads_to_refusal(daemon, timers):
    """It replies NOT_OWNER to a request that it never began to store."""
    daemon.owners[0] = owner = FakeOwner()
    _, replies = ask(daemon, timers)
    daemon.owners.clear()
    owner.requests[0](NOT_OWNER)
    timers.run(3_000)
    assert outcome_of(replies) is fx.Outcome.REFUSED


def test_answered_requests_leave_no_state(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, _ = ask(daemon, timers)
    for epoch in (1, 2, 3):
        gateway.on_heartbeat(daemon.link, heartbeat(epoch))
    timers.run(3_000)
    assert not gateway.open_requests
    assert not gateway._pending_by_earlier_call_id


def test_owner_is_sent_the_remaining_time(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, _ = ask(daemon, timers)
    timers.run(500)
    gateway.on_heartbeat(daemon.next_owner, heartbeat_of_next_owner())
    timeouts_ms = [
        link.sent[0].patience_ms for link in (daemon.link, daemon.next_owner)
    ]
    assert timeouts_ms == [2_500, 2_000]


def test_local_owner_gets_the_remaining_time(daemon, timers):
    daemon.owners[0] = owner = FakeOwner()
    ask(daemon, timers)
    assert owner.options["timeout_ms"] == 2_500
