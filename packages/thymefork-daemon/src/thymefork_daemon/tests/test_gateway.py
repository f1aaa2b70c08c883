"""Requests on their way to the owner: only what is certain is called not run."""

from types import SimpleNamespace

import pytest

from thymefork_cells import effects as fx
from thymefork_daemon import gateway as gateway_module
from thymefork_daemon.gateway import Gateway
from thymefork_net import Address
from thymefork_net.peers import Heartbeat, OwnedCell

from .fakes import FakeMetrics

CLOCKED = (gateway_module,)

JOB = "00000000000000aa"
OWNER = Address(host="10.0.0.2", port=7000)
SUCCESSOR = Address(host="10.0.0.3", port=7000)


class FakeLink:
    def __init__(self, address=OWNER):
        self.address = self.listener_address = address
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class FakeOwner:
    is_serving = True

    def __init__(self):
        self.requests = []

    def request(self, kind, queue, job_id, data, respond):
        self.requests.append(respond)


@pytest.fixture
def daemon(timers):
    known = {0: None}
    link = FakeLink()
    links = {OWNER: link, SUCCESSOR: FakeLink(SUCCESSOR)}
    directory = SimpleNamespace(
        owner_of=lambda cell: known[cell],
        refresh=lambda: None,
        forget=lambda cell, address: known.update({cell: None}),
        heard=lambda cell, address, epoch: known.update({cell: address}) or True,
        known=known,
    )
    return SimpleNamespace(
        layout=SimpleNamespace(cells=1),
        owners={},
        directory=directory,
        links=SimpleNamespace(to=lambda address: links[address]),
        link=link,
        successor=links[SUCCESSOR],
        timers=timers,
        metrics=FakeMetrics(),
        readiness=SimpleNamespace(is_cut_off=False),
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


def heartbeat_of_successor():
    owned = [OwnedCell(cell=0, epoch=2)]
    return Heartbeat(owned=owned, config_version=1, leaving=False)


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
    daemon.readiness.is_cut_off = True
    _, replies = ask(daemon, timers)
    timers.run(10)
    assert replies[0].outcome is fx.Outcome.REFUSED


def test_a_request_in_doubt_waits_for_the_successor_all_the_same(daemon, timers):
    daemon.directory.known[0] = OWNER
    gateway, replies = ask(daemon, timers)
    daemon.readiness.is_cut_off = True
    gateway.on_link_broken(daemon.link)
    timers.run(1_000)
    assert not replies
