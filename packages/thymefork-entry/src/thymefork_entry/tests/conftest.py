"""One daemon of a small cluster, shared by the tests of a module."""

from pathlib import Path

import orjson
import pytest

from thymefork_standin.cluster import Cluster

EXAMPLE = Path(__file__).parents[5] / "examples" / "libraries.json"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    """One hall with one instance and two workers; small limits for callers."""
    file = orjson.loads(EXAMPLE.read_bytes())
    file["halls"] = file["halls"][:1]
    file["workers"] = file["workers"][:2]
    file["standing"] = []
    with Cluster(
        file=file,
        instances_per_hall=1,
        folder=tmp_path_factory.mktemp("cluster"),
        http_limits={"head_bytes": 2048, "body_bytes": 65536, "receive_ms": 1000},
        peer_message_bytes=4096,
    ) as running:
        yield running
