"""The cluster that scenarios run on, and the steps that they share."""

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import orjson
import pytest
from pytest_bdd import given, parsers, then, when

from thymefork_standin.cluster import Cluster
from thymefork_standin.http import call, wait_until

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


# Work ------------------------------------------------------------------------


@when(
    parsers.parse("{count:d} {kind} works of {run_ms:d} ms are sent to instance {n:d}")
)
def send_works(b, count, kind, run_ms, n):
    if kind == "service":
        run_ms = 0
    fields = {**b.kind(kind), "run_ms": run_ms}
    specs = [b.cluster.spec(**{**fields, "run_ms": run_ms}) for _ in range(count)]
    b.specs += specs
    b.submit(n, specs)


@when(
    parsers.parse("a job of {count:d} tasks of {run_ms:d} ms is sent to instance {n:d}")
)
def send_job(b, count, run_ms, n):
    spec = b.cluster.spec("job", tasks=count, run_ms=run_ms)
    b.specs.append(spec)
    b.submit(n, [spec])


@when(parsers.parse("all works are sent again to instance {n:d}"))
def send_again(b, n):
    b.submit(n, b.specs, retry=True)


@when("all works have started")
def wait_started(b):
    for spec in b.specs:
        wait_until(
            lambda s=spec: len(b.cluster.starts_of(s["work_id"])) >= s.get("tasks", 1),
            what=f"the start of {spec['work_id']}",
        )


@then("every work is answered done")
def all_done(b):
    answers = b.all_answers()
    done = {a["work_id"] for a in answers if a["outcome"] == "done"}
    missing = [s["work_id"] for s in b.specs if s["work_id"] not in done]
    assert not missing, [a for a in answers if a["work_id"] in missing]


@then("every answer is true")
def answers_true(b):
    """Hold each answer against what the workers wrote down."""
    once = {s["work_id"] for s in b.specs if s.get("at_most_once")}
    tasks = {s["work_id"]: s.get("tasks", 1) for s in b.specs}
    for answer in b.all_answers():
        starts = b.cluster.starts_of(answer["work_id"])
        if answer["outcome"] == "not_run":
            assert not starts, (answer, starts)
            assert answer["come_back_at_ms"] or answer["reason"] == "cancelled"
        if answer["outcome"] == "done":
            ran = {event[2].rsplit("/", 1)[0] for _, event in starts}
            assert len(ran) == tasks[answer["work_id"]], (answer, starts)
        if answer["work_id"] in once:
            assert len(starts) <= 1, starts


@then("no task ever ran twice at a time")
def no_copies(b):
    """Replay all workers' journals in order and watch for a second copy."""
    events = sorted(
        (at_ms, kind != "start", kind, attempt_id)
        for worker in b.cluster.workers
        for at_ms, kind, attempt_id in b.cluster.journal(worker)["events"]
    )
    running = {}
    for _, _, kind, attempt_id in events:
        task = attempt_id.rsplit("/", 1)[0]
        if kind == "start":
            assert not running.get(task), (attempt_id, running[task])
            running[task] = attempt_id
        elif kind in ("end", "stop", "lease_over"):
            running.pop(task, None)


@then("no worker was ever over its capacity")
def within_capacity(b):
    service = b.cluster.file["services"][0]
    for worker in b.cluster.file["workers"]:
        high = b.cluster.journal(worker["name"])["high"]
        for kind in ("cpu_milli", "memory_mb", "accelerators"):
            assert high[kind] <= worker["resources"][kind], (worker["name"], high)
        assert high["lookups"] <= service["slots"], high
        assert high["connections"] <= service["connections"], high


# Instances -------------------------------------------------------------------


@when(parsers.parse("instance {n:d} is killed"))
def kill(b, n):
    b.cluster.daemons[b.name(n)].kill()


@when(parsers.parse("instance {n:d} is paused for {span_ms:d} ms"))
def pause(b, n, span_ms):
    b.cluster.daemons[b.name(n)].pause()
    time.sleep(span_ms / 1000)
    b.cluster.daemons[b.name(n)].resume()


@when(parsers.parse("instance {n:d} is paused"))
def pause_on(b, n):
    b.cluster.daemons[b.name(n)].pause()


@when(parsers.parse("instance {n:d} goes on"))
def resume(b, n):
    b.cluster.daemons[b.name(n)].resume()


@when(parsers.parse("instance {n:d} is started again"))
def start_again(b, n):
    b.cluster.start_daemon(b.name(n))
    b.cluster.wait_health(b.name(n))


@then(parsers.parse("instance {n:d} owns every worker within {span_ms:d} ms"))
def owns_all(b, n, span_ms):
    name = b.name(n)
    hall = b.cluster.hall_of[name]
    wanted = {w["name"] for w in b.cluster.file["workers"] if w["hall"] == hall}

    def owned():
        report = b.cluster.report(name)
        opened = {w["name"] for w in report["workers"] if w["open_for_work"]}
        return opened == wanted

    wait_until(owned, timeout_s=span_ms / 1000, what="the takeover")


# Platform --------------------------------------------------------------------


@when("the log goes out")
def log_out(b):
    b.cluster.switch("log", outage="refuse")
    for name in b.cluster.names:
        wait_until(lambda n=name: not _alive(b, n) or _sees_outage(b, n))


def _alive(b, name):
    return b.cluster.daemons[name].exit_code is None


def _sees_outage(b, name):
    return b.cluster.report(name).get("log_down", False)


@when("the log goes out for records only")
def log_out_for_records(b):
    b.cluster.switch("log", outage="appends")


@when(parsers.parse("the log keeps only {rows:d} records of a stream"))
def limit_retention(b, rows):
    b.cluster.switch("log", retention_rows=rows)


@when("the log comes back")
def log_back(b):
    b.cluster.switch("log", outage="")
    for name in b.cluster.names:
        wait_until(lambda n=name: not _alive(b, n) or not _sees_outage(b, n))


@when(parsers.parse("the log loses the answers of the next {n:d} appends of {what}"))
def lose_answers(b, n, what):
    b.cluster.switch("log", lose_answers=n, lose_match=what)


@when(parsers.parse("time passes for {span_ms:d} ms"))
def time_passes(span_ms):
    time.sleep(span_ms / 1000)


# Lookups ---------------------------------------------------------------------


@when(parsers.parse("{count:d} lookups that take {take_ms:d} ms go to instance {n:d}"))
def send_lookups(b, count, take_ms, n):
    deadline = {"Deadline-Ms": str(time.time_ns() // 1_000_000 + 4000)}
    for index in range(count):
        target = f"item-{index}?take_ms={take_ms}&q=key-{index}"
        done = b.pool.submit(
            b.cluster.lookup, b.name(n), target, headers=deadline, timeout_s=8.0
        )
        b.lookups.append((index, done))


@then("every lookup got its own whole answer or a true refusal")
def own_answers(b):
    served = 0
    for index, done in b.lookups:
        reply = done.result()
        if reply.status == 200:
            assert reply.document["q"] == f"key-{index}"
            assert reply.document["target"] == f"item-{index}"
            served += 1
        elif reply.status == 503:
            assert reply.document["come_back_at_ms"] > 0
        else:
            assert reply.status in (0, 504), reply
    b.noted["served"] = served


@then(parsers.parse("at least {count:d} lookups were served"))
def enough_served(b, count):
    assert b.noted["served"] >= count


@then(parsers.parse("a lookup at instance {n:d} is served"))
def lookup_served(b, n):
    reply = b.cluster.lookup(b.name(n), "item?q=1")
    assert reply.status == 200, reply


@when(parsers.parse("a stream of {parts:d} parts is held at instance {n:d}"))
def hold_stream(b, parts, n):
    service = b.cluster.file["services"][0]["name"]
    port = b.cluster.ports[b.name(n)]
    path = f"/stream/{service}/all?parts={parts}"
    done = b.pool.submit(call, port, "GET", path, timeout_s=30.0)
    b.streams.append((parts, done))
    time.sleep(0.3)


@then("every stream came whole")
def streams_whole(b):
    for parts, done in b.streams:
        reply = done.result()
        lines = reply.body.decode().split()
        assert lines[1::2] == [str(index) for index in range(parts)], reply
