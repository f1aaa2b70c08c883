"""Requests on their way to the owner: only what is certain is called not run."""

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
SUCCESSOR = Address(host="10.0.0.3", port=7000)


class FakeLink:
    """Carry messages; one that `keeps_all` sends none of the bytes from then on."""

    def __init__(self, address=OWNER):
        self.address = self.listener_address = address
        self.sent = []
        self.keeps_all = False
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
        self.kept_bytes += self.keeps_all


class FakeOwner:
    """Take requests; each ownership has an epoch of its own, later than all before."""

    is_serving = True
    epochs = count(1)

    def __init__(self):
        self.epoch = next(self.epochs)
        self.requests = []

    def request(self, kind, queue, job_id, data, respond, **options):
        self.requests.append(respond)
        self.options = options


class FakeDirectory:
    """Believe what it hears; the epoch is known only where it was heard."""

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
    """Return an instance beside an owner and its successor, of which none is known."""
    link = FakeLink()
    links = {OWNER: link, SUCCESSOR: FakeLink(SUCCESSOR)}
    return SimpleNamespace(
        layout=SimpleNamespace(cells=1),
        owners={},
        directory=FakeDirectory(),
        links=SimpleNamespace(open_link=lambda address: links[address]),
        link=link,
        successor=links[SUCCESSOR],
        timers=timers,
        metrics=FakeMetrics(),
        readiness=SimpleNamespace(is_disconnected=False),
        settings=SimpleNamespace(peer=Address(host="10.0.0.1", port=7000)),
    )


def ask(daemon, timers, kind="submit"):
    gateway, replies = Gateway(daemon=daemon), []
    gateway.request(kind, "q", JOB, b"", timers.now_ms + 2_500, replies.append)
    return gateway, replies


def test_without_an_owner_it_is_refused_soon(daemon, timers):
    _, replies = ask(daemon, timers)
    timers.run(600)
    assert replies[0].outcome is fx.Outcome.REFUSED


def test_the_own_instance_may_have_taken_it(daemon, timers):
    # Seen in trouble-3 of cab-bogota: refused at its time-out, stored and run later.
    daemon.owners[0] = FakeOwner()
    _, replies = ask(daemon, timers)
    timers.run(3_000)
    assert replies[0].outcome is fx.Outcome.IN_DOUBT


def test_an_owner_that_is_gone_may_have_taken_it(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    assert daemon.link.sent
    gateway.on_link_broken(daemon.link)
    timers.run(1_500)  # a successor may yet serve: a 504 could not be repeated
    assert not replies
    timers.run(200)
    assert replies[0].outcome is fx.Outcome.IN_DOUBT


def test_an_instance_that_is_no_owner_has_not_taken_it(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    reply = fx.Reply(request_id=None, outcome=fx.Outcome.NOT_OWNER)
    gateway._on_reply(daemon.link.sent[0].call_id, reply)
    timers.run(1_000)
    assert replies[0].outcome is fx.Outcome.REFUSED


def test_a_successor_gets_what_its_predecessor_did_not_answer(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_link_broken(daemon.link)
    daemon.owners[0] = FakeOwner()
    timers.run(200)
    daemon.owners[0].requests[0](fx.Reply(request_id=None, outcome=fx.Outcome.ACCEPTED))
    assert replies[0].outcome is fx.Outcome.ACCEPTED


def test_the_count_of_a_queue_adds_up_over_the_cells(daemon, timers):
    daemon.layout.cells = 2
    daemon.owners = {0: FakeOwner(), 1: FakeOwner()}
    _, replies = ask(daemon, timers, kind="count")
    for number, owner in enumerate(daemon.owners.values()):
        owner.requests[0](
            fx.Reply(request_id=None, outcome=fx.Outcome.COUNTED, count=number + 2)
        )
    assert replies[0].count == 5


def heartbeat(epoch):
    owned = [OwnedCell(cell=0, epoch=epoch)]
    return Heartbeat(owned=owned, config_version=1, leaving=False)


def heartbeat_of_successor():
    return heartbeat(epoch=2)


def test_a_request_goes_on_to_the_new_owner_once_that_is_heard(daemon, timers):
    """From cab-bogota-grown, trouble-3: 24 requests waited on a dead owner's link."""
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.successor, heartbeat_of_successor())
    (request,) = daemon.successor.sent
    reply = fx.Reply(request_id=None, outcome=fx.Outcome.ACCEPTED)
    gateway._on_reply(request.call_id, reply)
    assert replies[0].outcome is fx.Outcome.ACCEPTED


def test_a_refusal_of_the_old_owner_does_not_count_any_more(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    gateway.on_heartbeat(daemon.successor, heartbeat_of_successor())
    reply = fx.Reply(request_id=None, outcome=fx.Outcome.REFUSED)
    gateway._on_reply(daemon.link.sent[0].call_id, reply)
    assert not replies


def test_a_heartbeat_of_the_same_owner_repeats_nothing(daemon, timers):
    daemon.directory.known[0] = SUCCESSOR
    gateway, _ = ask(daemon, timers)
    gateway.on_heartbeat(daemon.successor, heartbeat_of_successor())
    assert len(daemon.successor.sent) == 1


def test_an_instance_that_is_cut_off_refuses_at_once(daemon, timers):
    daemon.readiness.is_disconnected = True
    _, replies = ask(daemon, timers)
    timers.run(10)
    assert replies[0].outcome is fx.Outcome.REFUSED


def test_a_request_in_doubt_waits_for_the_successor_all_the_same(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    daemon.readiness.is_disconnected = True
    gateway.on_link_broken(daemon.link)
    timers.run(1_000)
    assert not replies


@pytest.mark.parametrize("kind", ["submit", "cancel"])
def test_an_owner_that_comes_back_under_a_later_epoch_gets_the_request(
    daemon, timers, kind
):
    """Its former ownership ended with the request; its address is the same."""
    daemon.directory.known[0] = OWNER
    gateway, _ = ask(daemon, timers, kind=kind)
    for epoch in (1, 1, 2, 2):
        gateway.on_heartbeat(daemon.link, heartbeat(epoch))
    assert len(daemon.link.sent) == 2


@pytest.mark.parametrize("kind", ["submit", "cancel"])
def test_the_own_instance_that_owns_the_cell_anew_gets_the_request(
    daemon, timers, kind
):
    """No peer tells of a cell that was lost here and is owned here once more."""
    daemon.owners[0] = FakeOwner()
    _, replies = ask(daemon, timers, kind=kind)
    daemon.owners[0] = anew = FakeOwner()
    timers.run(500)
    assert len(anew.requests) == 1
    anew.requests[0](fx.Reply(request_id=None, outcome=fx.Outcome.ACCEPTED))
    assert replies[0].outcome is fx.Outcome.ACCEPTED


def test_a_request_whose_link_breaks_as_it_is_sent_goes_to_the_successor(
    daemon, timers
):
    """The wait for a reply took the place of the try that the break had armed."""
    daemon.directory.known[0] = OWNER
    gateway = Gateway(daemon=daemon)
    daemon.link.send = lambda message: gateway.on_link_broken(daemon.link)
    gateway.request("cancel", "q", JOB, b"", timers.now_ms + 2_500, lambda reply: None)
    daemon.directory.known[0] = SUCCESSOR
    timers.run(200)
    assert len(daemon.successor.sent) == 1


def test_an_ownership_that_lasts_gets_a_request_once(daemon, timers):
    daemon.owners[0] = owner = FakeOwner()
    ask(daemon, timers)
    timers.run(2_000)
    assert len(owner.requests) == 1


def test_a_request_that_was_sent_again_is_answered_once(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers, kind="cancel")
    for epoch in (1, 2):
        gateway.on_heartbeat(daemon.link, heartbeat(epoch))
    reply = fx.Reply(request_id=None, outcome=fx.Outcome.ACCEPTED)
    for message in daemon.link.sent:
        gateway._on_reply(message.call_id, reply)
        gateway._on_reply(message.call_id, reply)
    timers.run(3_000)
    assert [reply.outcome for reply in replies] == [fx.Outcome.ACCEPTED]


def test_a_cell_that_comes_here_brings_what_its_former_owner_was_asked(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, _ = ask(daemon, timers)
    gateway.on_heartbeat(daemon.link, heartbeat(epoch=0))
    daemon.owners[0] = FakeOwner()
    timers.run(500)
    assert len(daemon.owners[0].requests) == 1
