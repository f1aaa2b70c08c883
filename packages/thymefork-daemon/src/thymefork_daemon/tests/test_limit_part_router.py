"""Messages on limit parts reach the owner of the cell they are addressed to.

How parts are lent is tested in the cells package; this covers delivery on one instance,
over links, and to peers that do not support parts.
"""

from types import SimpleNamespace

import pytest

from thymefork_cells import effects as fx
from thymefork_cells.specs import LimitParts
from thymefork_daemon import peer_dispatcher as peer_dispatcher_module
from thymefork_daemon.limit_part_router import LimitPartRouter, to_wire
from thymefork_daemon.peer_dispatcher import PeerDispatcher
from thymefork_net import Address
from thymefork_net.peers import Heartbeat
from thymefork_net.peers.envelope import decode, encode

from .fakes import FakeMetrics

CLOCK_MODULES = (peer_dispatcher_module,)
OWN = Address(host="10.0.0.1", port=7000)
PEER = Address(host="10.0.0.2", port=7000)
PARTS = LimitParts(cpu=3, memory=2_000_000_000_000, accelerators=0)
ASK = fx.RequestParts(
    account="a",
    borrower=0,
    borrower_epoch=4,
    lender=1,
    least=PARTS,
    most=PARTS + PARTS,
    since_epoch_ms=1_700_000_000_000,
    is_within=True,
)
GRANT = fx.GrantParts(
    account="a",
    lender=0,
    lender_epoch=3,
    borrower=1,
    borrower_epoch=4,
    number=9,
    parts=PARTS,
    free=LimitParts(),
)
HOLD = fx.ReportHeldParts(
    account="a",
    borrower=0,
    borrower_epoch=4,
    lender=1,
    lender_epoch=3,
    number=9,
    parts=PARTS,
)
MESSAGES = [ASK, GRANT, HOLD]


class FakeLink:
    listener_address = PEER
    address = PEER

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(decode(encode(message), peer="edge-1"))


class FakeOwner:
    def __init__(self):
        self.received = []

    def on_limit_part_message(self, message):
        self.received.append(message)


@pytest.fixture
def daemon(timers):
    link = FakeLink()
    daemon = SimpleNamespace(
        timers=timers,
        metrics=FakeMetrics(),
        owners={},
        link=link,
        owner_addresses={1: PEER},
        settings=SimpleNamespace(peer=OWN),
        membership=SimpleNamespace(in_group=False, join_now=lambda: None),
        owned_cells=SimpleNamespace(on_peer_ownership=lambda owned: None),
        gateway=SimpleNamespace(on_heartbeat=lambda link, message: None),
        links=SimpleNamespace(open_link=lambda address: link),
        directory=SimpleNamespace(
            owner_of=lambda cell: daemon.owner_addresses.get(cell),
            refresh=lambda: None,
        ),
    )
    daemon.limit_part_router = LimitPartRouter(daemon=daemon)
    daemon.peers = PeerDispatcher(daemon=daemon)
    return daemon


def receive_heartbeat(daemon, *, moves_parts):
    heartbeat = Heartbeat(
        owned=[], config_version=1, leaving=False, moves_parts=moves_parts
    )
    daemon.peers.on_message(daemon.link, decode(encode(heartbeat), peer="edge-2"))


@pytest.mark.parametrize("message", MESSAGES)
def test_message_reaches_a_peers_owner_unchanged(daemon, message):
    receive_heartbeat(daemon, moves_parts=True)
    daemon.limit_part_router.send(message)
    (wire,) = daemon.link.sent
    owner = daemon.owners[1] = FakeOwner()
    daemon.peers.on_message(daemon.link, wire)
    assert owner.received == [message]


@pytest.mark.parametrize("message", MESSAGES)
def test_local_owner_gets_the_message_after_its_senders_effects(
    daemon, timers, message
):
    owner = daemon.owners[1] = FakeOwner()
    daemon.limit_part_router.send(message)
    assert not owner.received
    timers.run(1)
    assert owner.received == [message] and not daemon.link.sent


@pytest.mark.parametrize("moves_parts", [None, False])
def test_peer_without_support_for_parts_gets_no_message(daemon, moves_parts):
    receive_heartbeat(daemon, moves_parts=True)
    receive_heartbeat(daemon, moves_parts=moves_parts)
    daemon.limit_part_router.send(ASK)
    assert not daemon.link.sent
    assert daemon.metrics.counts == [("limit_parts_dropped", "peer_moves_none")]


def test_message_without_an_owner_is_dropped_and_counted(daemon):
    daemon.owner_addresses.clear()
    daemon.limit_part_router.send(ASK)
    daemon.limit_part_router.on_message(to_wire(ASK))
    assert daemon.metrics.counts == [
        ("limit_parts_dropped", "no_link"),
        ("limit_parts_dropped", "not_owned_here"),
    ]


def test_owner_lost_before_delivery_gets_no_message(daemon, timers):
    owner = daemon.owners[1] = FakeOwner()
    daemon.limit_part_router.send(ASK)
    del daemon.owners[1]
    timers.run(1)
    assert not owner.received
