"""Steps for leaving endpoints, planned stops and replaced instances."""

import signal
import time

from pytest_bdd import parsers, then, when

from thymefork_standin.http import wait_until


@when(parsers.parse("worker {n:d} says that it is leaving"))
def worker_leaves(b, n):
    b.cluster.switch(b.worker(n), leaving=True)
    _note_events(b, n)


@when(parsers.parse("the list marks worker {n:d} as leaving"))
def list_marks_worker(b, n):
    name = b.worker(n)
    worker = next(w for w in b.cluster.file["workers"] if w["name"] == name)
    entry = {
        "name": name,
        "hall": worker["hall"],
        "host": "127.0.0.1",
        "port": b.cluster.ports[name],
        "state": "leaving",
    }
    b.cluster.set_list(workers={name: entry})
    _note_events(b, n)


@when(parsers.parse("the instance list lags by {span_ms:d} ms"))
def list_lags(b, span_ms):
    b.cluster.set_list(lag_ms=span_ms)


@when("the instance list goes out")
def list_out(b):
    b.cluster.set_list(outage=True)


def _note_events(b, n):
    b.noted["leaving"] = b.worker(n)
    b.noted["leaving_since_s"] = time.monotonic()


@then("the leaving worker gets nothing new after 2 s")
def nothing_new(b):
    left_s = 2.0 - (time.monotonic() - b.noted["leaving_since_s"])
    time.sleep(max(0.0, left_s))
    worker = b.noted["leaving"]
    before = b.cluster.journal(worker)["events"]
    specs = [b.cluster.spec(run_ms=50) for _ in range(20)]
    for name in b.cluster.names:
        for _ in range(20):
            reply = b.cluster.lookup(name, "item")
            assert reply.status == 200, reply
            assert reply.document["worker"] != worker
    answers = b.cluster.submit(b.cluster.names[0], *specs)
    assert all(a["outcome"] == "done" for a in answers), answers
    starts = [e for e in b.cluster.journal(worker)["events"] if e[1] == "start"]
    assert starts == [e for e in before if e[1] == "start"]


@when(parsers.parse("instance {n:d} is told to stop"))
def tell_stop(b, n):
    b.cluster.daemons[b.name(n)].send(signal.SIGTERM)


@when(parsers.parse("the list marks instance {n:d} as leaving"))
def list_marks_instance(b, n):
    entry = b.cluster.list_entry(b.name(n), state="leaving")
    b.cluster.set_list(instances={b.name(n): entry})


@then(parsers.parse("instance {n:d} is not ready but alive"))
def not_ready(b, n):
    name = b.name(n)
    wait_until(lambda: b.cluster.get(name, "/ready").status == 503)
    assert b.cluster.daemons[name].exit_code is None


@then(parsers.parse("instance {n:d} has left with code {code:d} within {span_ms:d} ms"))
def has_left(b, n, code, span_ms):
    process = b.cluster.daemons[b.name(n)]
    wait_until(
        lambda: process.exit_code is not None,
        timeout_s=span_ms / 1000,
        what=f"the end of instance {n}",
    )
    assert process.exit_code == code


@when(parsers.parse("instance {n:d} is replaced"))
def replace(b, n):
    tell_stop(b, n)
    has_left(b, n, 0, 20_000)
    b.cluster.start_daemon(b.name(n))
    b.cluster.wait_health(b.name(n))
    wait_until(
        lambda: b.cluster.report(b.name(n)).get("ready"), what="a ready replacement"
    )


@when(parsers.parse("lookups go on at instance {n:d} in the background"))
def lookups_go_on(b, n):
    b.noted["going"] = True

    def keep_asking():
        replies = []
        while b.noted["going"]:
            reply = b.cluster.lookup(b.name(n), "item?q=x", timeout_s=5.0)
            replies.append(reply)
            time.sleep(0.01)
        return replies

    b.noted["replies"] = b.pool.submit(keep_asking)


@then("every background lookup was served")
def background_served(b):
    b.noted["going"] = False
    replies = b.noted["replies"].result()
    bad = [reply for reply in replies if reply.status != 200]
    assert len(replies) > 50, replies[-3:]
    assert not bad, (len(bad), len(replies), bad[0])


@when("the first hall is cut off")
def cut_off(b):
    b.cluster.cut_off()
    name = b.cluster.names[0]
    wait_until(lambda: b.cluster.report(name).get("log_down"), what="the cut")


@when("the first hall is joined again")
def join_again(b):
    b.cluster.join_again()
    name = b.cluster.names[0]
    wait_until(
        lambda: not b.cluster.report(name).get("log_down", True), what="the join"
    )
