"""Heartbeats between instances of different versions."""

from thymefork_net.peers import Heartbeat
from thymefork_net.peers.envelope import decode, encode


def test_heartbeat_fields_survive_encoding():
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


def test_heartbeat_without_optional_fields_is_decoded():
    sent = Heartbeat(owned=[], config_version=3, leaving=False)
    received = decode(encode(sent), peer="a")
    assert received.tier is None and received.load_percent is None
    assert received.best_tier is None and received.join_ms is None
