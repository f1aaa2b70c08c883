"""Forwarding of requests to the owners of their cells."""

from itertools import count
from types import SimpleNamespace

import pytest

from thymefork_cells import effects as fx
from thymefork_daemon import (
    gateway as gateway_module,
    pending_request as pending_request_module,
)
from thymefork_daemon.gateway import Gateway
from thymefork_net import Address
from thymefork_net.peers import Heartbeat, OwnedCell

from .fakes import FakeMetrics

CLOCK_MODULES = (gateway_module, pending_request_module)

JOB = "00000000000000aa"
OWNER = Address(host="10.0.0.2", port=7000)
NEXT_OWNER = Address(host="10.0.0.3", port=7000)


class FakeLink:
    """Record messages; with `keeps_all_bytes` set, none of their bytes leave."""

    def __init__(self, address=OWNER):
        self.address = self.listener_address = address
        self.sent = []
        self.keeps_all_bytes = False
        self.kept_bytes = 0
        self.bytes_each = 1

    @property
    def sent_bytes(self):
        return self.bytes_each * len(self.sent)

    @property
    def written_bytes(self):
        return self.sent_bytes - self.kept_bytes

    def send(self, message):
        self.sent.append(message)
        self.kept_bytes += self.keeps_all_bytes


class FakeOwner:
    """Record requests; each ownership has a later epoch than all before it."""

    is_serving = True
    epochs = count(1)

    def __init__(self):
        self.epoch = next(self.epochs)
        self.requests = []

    def request(self, kind, queue, job_id, data, respond, **options):
        self.requests.append(respond)
        self.options = options


class FakeDirectory:
    """Accept all owners; the epoch is known only if it was reported."""

    def __init__(self):
        self.known = {0: None}
        self.epochs = {}

    def owner_of(self, cell):
        return self.known[cell]

    def epoch_of(self, cell):
        return self.epochs.get((cell, self.known[cell]))

    def refresh(self):
        pass

    def forget(self, cell, address):
        self.known[cell] = None

    def record_owner(self, cell, address, epoch):
        self.known[cell] = address
        self.epochs[cell, address] = epoch
        return True


@pytest.fixture
def daemon(timers):
    return make_daemon(timers)


def make_daemon(timers):
    """Return an instance with links to an owner and a next owner, both unknown yet."""
    link = FakeLink()
    links = {OWNER: link, NEXT_OWNER: FakeLink(NEXT_OWNER)}
    return SimpleNamespace(
        layout=SimpleNamespace(cells=1),
        owners={},
        directory=FakeDirectory(),
        links=SimpleNamespace(open_link=lambda address: links[address]),
        link=link,
        next_owner=links[NEXT_OWNER],
        timers=timers,
        metrics=FakeMetrics(),
        readiness=SimpleNamespace(is_disconnected=False),
        settings=SimpleNamespace(peer=Address(host="10.0.0.1", port=7000)),
    )


def ask(daemon, timers, kind="submit"):
    gateway, replies = Gateway(daemon=daemon), []
    gateway.request(kind, "q", JOB, b"", timers.now_ms + 2_500, replies.append)
    return gateway, replies


def test_request_without_an_owner_is_refused_soon(daemon, timers):
    _, replies = ask(daemon, timers)
    timers.run(600)
    assert replies[0].outcome is fx.Outcome.REFUSED


def test_unanswered_local_request_is_in_doubt(daemon, timers):
    # The owner may have stored the request although its reply timed out.
    daemon.owners[0] = FakeOwner()
    _, replies = ask(daemon, timers)
    timers.run(3_000)
    assert replies[0].outcome is fx.Outcome.IN_DOUBT


def test_request_to_a_lost_owner_is_in_doubt(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    assert daemon.link.sent
    gateway.on_link_broken(daemon.link)
    timers.run(1_500)  # the next owner may still serve; no refusal before that
    assert not replies
    timers.run(200)
    assert replies[0].outcome is fx.Outcome.IN_DOUBT


def test_request_is_refused_after_a_not_owner_reply(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    reply = fx.Reply(reply_to=None, outcome=fx.Outcome.NOT_OWNER)
    gateway._on_reply(daemon.link.sent[0].call_id, reply)
    timers.run(1_000)
    assert replies[0].outcome is fx.Outcome.REFUSED


def test_next_owner_gets_unanswered_requests(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_link_broken(daemon.link)
    daemon.owners[0] = FakeOwner()
    timers.run(200)
    daemon.owners[0].requests[0](fx.Reply(reply_to=None, outcome=fx.Outcome.ACCEPTED))
    assert replies[0].outcome is fx.Outcome.ACCEPTED


def test_queue_count_sums_over_the_cells(daemon, timers):
    daemon.layout.cells = 2
    daemon.owners = {0: FakeOwner(), 1: FakeOwner()}
    _, replies = ask(daemon, timers, kind="count")
    for number, owner in enumerate(daemon.owners.values()):
        owner.requests[0](
            fx.Reply(reply_to=None, outcome=fx.Outcome.COUNTED, count=number + 2)
        )
    assert replies[0].count == 5


def heartbeat(epoch):
    owned = [OwnedCell(cell=0, epoch=epoch)]
    return Heartbeat(owned=owned, config_version=1, leaving=False)


def heartbeat_of_next_owner():
    return heartbeat(epoch=2)


def test_request_is_resent_on_the_next_owners_heartbeat(daemon, timers):
    """Guards against requests that wait on the link of a dead owner."""
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.next_owner, heartbeat_of_next_owner())
    (request,) = daemon.next_owner.sent
    reply = fx.Reply(reply_to=None, outcome=fx.Outcome.ACCEPTED)
    gateway._on_reply(request.call_id, reply)
    assert replies[0].outcome is fx.Outcome.ACCEPTED


def test_late_refusal_of_the_previous_owner_is_ignored(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.next_owner, heartbeat_of_next_owner())
    reply = fx.Reply(reply_to=None, outcome=fx.Outcome.REFUSED)
    gateway._on_reply(daemon.link.sent[0].call_id, reply)
    assert not replies


def test_heartbeat_of_the_same_owner_resends_nothing(daemon, timers):
    daemon.directory.known[0] = NEXT_OWNER
    gateway, _ = ask(daemon, timers)
    gateway.on_heartbeat(daemon.next_owner, heartbeat_of_next_owner())
    assert len(daemon.next_owner.sent) == 1


def test_disconnected_instance_refuses_at_once(daemon, timers):
    daemon.readiness.is_disconnected = True
    _, replies = ask(daemon, timers)
    timers.run(10)
    assert replies[0].outcome is fx.Outcome.REFUSED


def test_request_in_doubt_waits_on_a_disconnected_instance(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    daemon.readiness.is_disconnected = True
    gateway.on_link_broken(daemon.link)
    timers.run(1_000)
    assert not replies


@pytest.mark.parametrize("kind", ["submit", "cancel"])
def test_returning_owner_with_a_later_epoch_gets_the_request(daemon, timers, kind):
    """Its former ownership ended without a reply; its address is the same."""
    daemon.directory.known[0] = OWNER
    gateway, _ = ask(daemon, timers, kind=kind)
    for epoch in (1, 1, 2, 2):
        gateway.on_heartbeat(daemon.link, heartbeat(epoch))
    assert len(daemon.link.sent) == 2


@pytest.mark.parametrize("kind", ["submit", "cancel"])
def test_local_owner_with_a_later_epoch_gets_the_request(daemon, timers, kind):
    """No peer's heartbeat reports a cell that was lost and is owned here again."""
    daemon.owners[0] = FakeOwner()
    _, replies = ask(daemon, timers, kind=kind)
    daemon.owners[0] = new_owner = FakeOwner()
    timers.run(500)
    assert len(new_owner.requests) == 1
    new_owner.requests[0](fx.Reply(reply_to=None, outcome=fx.Outcome.ACCEPTED))
    assert replies[0].outcome is fx.Outcome.ACCEPTED


def test_request_is_resent_if_its_link_breaks_while_sending(daemon, timers):
    """The reply timeout must not replace the retry that the broken link scheduled."""
    daemon.directory.known[0] = OWNER
    gateway = Gateway(daemon=daemon)
    daemon.link.send = lambda message: gateway.on_link_broken(daemon.link)
    gateway.request("cancel", "q", JOB, b"", timers.now_ms + 2_500, lambda reply: None)
    daemon.directory.known[0] = NEXT_OWNER
    timers.run(200)
    assert len(daemon.next_owner.sent) == 1


def test_unchanged_ownership_gets_a_request_once(daemon, timers):
    daemon.owners[0] = owner = FakeOwner()
    ask(daemon, timers)
    timers.run(2_000)
    assert len(owner.requests) == 1


def test_resent_request_is_answered_once(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers, kind="cancel")
    for epoch in (1, 2):
        gateway.on_heartbeat(daemon.link, heartbeat(epoch))
    reply = fx.Reply(reply_to=None, outcome=fx.Outcome.ACCEPTED)
    for message in daemon.link.sent:
        gateway._on_reply(message.call_id, reply)
        gateway._on_reply(message.call_id, reply)
    timers.run(3_000)
    assert [reply.outcome for reply in replies] == [fx.Outcome.ACCEPTED]


def test_pending_requests_move_to_a_cell_gained_here(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, _ = ask(daemon, timers)
    gateway.on_heartbeat(daemon.link, heartbeat(epoch=0))
    daemon.owners[0] = FakeOwner()
    timers.run(500)
    assert len(daemon.owners[0].requests) == 1
