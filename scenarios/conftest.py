"""Shared steps and the small cluster that scenarios run on."""

import orjson
import pytest

from thymefork_standin.cluster import Cluster


@pytest.fixture
def small_file():
    """Two halls with two workers each, from the libraries' example."""
    from pathlib import Path

    path = Path(__file__).parent.parent / "examples" / "libraries.json"
    file = orjson.loads(path.read_bytes())
    file["halls"] = file["halls"][:2]
    file["workers"] = [
        worker
        for worker in file["workers"]
        if worker["hall"] in file["halls"] and worker["name"][-2:] in ("01", "02")
    ]
    return file


@pytest.fixture
def cluster(small_file, tmp_path):
    """Run a small cluster as processes."""
    with Cluster(file=small_file, folder=tmp_path) as running:
        yield running
