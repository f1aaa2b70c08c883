"""Heartbeats of instances that know more, or less, than each other."""

from thymefork_net.peers import Heartbeat
from thymefork_net.peers.envelope import decode, encode


def test_what_an_owner_is_told_of_its_peers_goes_over_the_wire():
    sent = Heartbeat(
        owned=[],
        config_version=3,
        leaving=False,
        in_group=True,
        store_lost=False,
        tier=2,
        load_percent=70,
        best_tier=3,
        join_ms=6,
    )
    assert decode(encode(sent), peer="a") == sent


def test_an_instance_that_knows_no_ranks_is_understood():
    sent = Heartbeat(owned=[], config_version=3, leaving=False)
    received = decode(encode(sent), peer="a")
    assert received.tier is None and received.load_percent is None
    assert received.best_tier is None and received.join_ms is None
