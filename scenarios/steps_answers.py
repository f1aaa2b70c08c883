"""Steps that send works, and hold the answers against the workers' journals."""

import time

from pytest_bdd import parsers, then, when

from thymefork_standin.http import wait_until


@when(
    parsers.parse("{count:d} {kind} works of {run_ms:d} ms are sent to instance {n:d}")
)
def send_works(b, count, kind, run_ms, n):
    fields = {"run_ms": run_ms, **b.kind(kind)}
    specs = [b.cluster.spec(**fields) for _ in range(count)]
    b.specs += specs
    b.submit(n, specs)


@when(
    parsers.parse(
        "{count:d} task works of {run_ms:d} ms due in {span_ms:d} ms are sent to"
        " instance {n:d}"
    )
)
def send_works_due(b, count, run_ms, span_ms, n):
    deadline_ms = time.time_ns() // 1_000_000 + span_ms
    specs = [
        b.cluster.spec(run_ms=run_ms, deadline_ms=deadline_ms) for _ in range(count)
    ]
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
    told = [a for a in answers if a["work_id"] in missing]
    assert not missing, (missing, told, b.unanswered())


@then(parsers.parse("every work is answered {outcome} for {reason}"))
def all_answered(b, outcome, reason):
    answers = b.all_answers()
    told = {
        a["work_id"]
        for a in answers
        if (a["outcome"], a["reason"]) == (outcome, reason)
    }
    missing = [s["work_id"] for s in b.specs if s["work_id"] not in told]
    assert not missing, (missing, answers, b.unanswered())


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
