"""The cluster that scenarios run on, and the steps that they share."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import orjson
import pytest
from pytest_bdd import given, parsers

from thymefork_standin.cluster import Cluster

EXAMPLE = Path(__file__).parent.parent / "examples" / "libraries.json"


def small_file(halls, workers):
    """Cut the libraries' example down to a few halls and workers."""
    file = orjson.loads(EXAMPLE.read_bytes())
    file["halls"] = file["halls"][:halls]
    file["standing"] = []
    kept = [f"-{index:02d}" for index in range(1, workers + 1)]
    file["workers"] = [
        worker
        for worker in file["workers"]
        if worker["hall"] in file["halls"] and worker["name"][-3:] in kept
    ]
    return file


class Bench:
    """Hold what a scenario has running, asked and been told."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.pool = ThreadPoolExecutor(32)
        self.specs = []
        self.answers = []
        self.lookups = []
        self.streams = []
        self.applies = []
        self.noted = {}

    def name(self, number):
        """Return the name of an instance by its number, from 1."""
        return self.cluster.names[number - 1]

    def worker(self, number):
        """Return the name of a worker by its number, from 1."""
        return list(self.cluster.workers)[number - 1]

    def owner(self, worker):
        """Return the instance that owns a worker, as any instance reports."""
        for name in self.cluster.names:
            owners = self.cluster.report(name).get("owners", {})
            if worker in owners:
                return owners[worker].split("~")[0]
        return None

    def submit(self, number, specs, **extra):
        """Submit works in the background."""
        form = {"works": specs, **extra}
        name = self.name(number)
        done = self.pool.submit(
            lambda: self.cluster.post(name, "/work", form, timeout_s=40.0)
        )
        self.answers.append(done)
        return done

    def all_answers(self):
        """Return every answer of every submission that got one."""
        replies = [done.result() for done in self.answers]
        return [
            answer
            for reply in replies
            if reply.status == 200
            for answer in reply.document["answers"]
        ]

    def unanswered(self):
        """Return every reply to a submission that holds no answers."""
        replies = [done.result() for done in self.answers]
        return [reply for reply in replies if reply.status != 200]

    def kind(self, kind):
        """Return the fields of a kind of work that the steps name."""
        return {
            "task": {},
            "at-most-once task": {"at_most_once": True},
            "service": {"kind": "service", "run_ms": 0},
        }[kind]


def internal_errors(cluster):
    """Return the log lines of errors that no handler took."""
    return [
        line
        for name in cluster.names
        for line in (cluster.folder / f"{name}.log").read_text().splitlines()
        if '"level":"ERROR"' in line or not line.startswith("{")
    ]


@pytest.fixture
def bench():
    """Hold the scenario's cluster; ended after it."""
    holder = {}
    yield holder
    if "bench" in holder:
        errors = internal_errors(holder["bench"].cluster)
        holder["bench"].cluster.end()
        holder["bench"].pool.shutdown(wait=False, cancel_futures=True)
        assert not errors, errors


def build(holder, tmp_path, halls, instances, workers, **options):
    """Start a cluster for a scenario."""
    cluster = Cluster(
        file=small_file(halls, workers),
        instances_per_hall=instances,
        folder=tmp_path,
        **options,
    )
    holder["bench"] = Bench(cluster)
    cluster.start()
    return holder["bench"]


@given(
    parsers.parse(
        "{halls:d} halls with {instances:d} instances and {workers:d} workers"
    ),
    target_fixture="b",
)
def start_cluster(bench, tmp_path, halls, instances, workers):
    return build(bench, tmp_path, halls, instances, workers)


@given(
    parsers.parse(
        "{halls:d} halls with {instances:d} instances and {workers:d} workers, and"
        " checkpoints every {every_ms:d} ms"
    ),
    target_fixture="b",
)
def start_checkpointing(bench, tmp_path, halls, instances, workers, every_ms):
    limits = {"checkpoint_every_ms": every_ms}
    return build(bench, tmp_path, halls, instances, workers, limits=limits)


@given(
    parsers.parse(
        "{halls:d} halls with {instances:d} instances and {workers:d} workers, the"
        " first behind links that can be cut"
    ),
    target_fixture="b",
)
def start_cuttable(bench, tmp_path, halls, instances, workers):
    hall = small_file(halls, workers)["halls"][0]
    return build(bench, tmp_path, halls, instances, workers, cut_hall=hall)
