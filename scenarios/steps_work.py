"""Steps for refusals, cancellations and failing workers."""

import http.client
import time

from pytest_bdd import parsers, then, when


@then(parsers.parse("all answers are not_run for {reason} within {span_ms:d} ms"))
def refused_at_once(b, reason, span_ms):
    began_s = time.monotonic()
    answers = b.all_answers()
    assert time.monotonic() - began_s < span_ms / 1000
    assert answers
    for answer in answers:
        assert (answer["outcome"], answer["reason"]) == ("not_run", reason), answer


@then(parsers.parse("{count:d} answers are not_run for {reason}"))
def refused(b, count, reason):
    found = [
        answer
        for answer in b.all_answers()
        if (answer["outcome"], answer["reason"]) == ("not_run", reason)
    ]
    assert len(found) == count, (len(found), b.all_answers()[-3:])


@when(parsers.parse("a task of {cores:d} processors is sent to instance {n:d}"))
def send_large(b, cores, n):
    need = {"cpu_milli": cores * 1000, "memory_mb": 512, "accelerators": 0}
    b.submit(n, [b.cluster.spec(resources=need)])


@when(parsers.parse("{count:d} tasks due in {span_ms:d} ms are sent to instance {n:d}"))
def send_due(b, count, span_ms, n):
    deadline_ms = time.time_ns() // 1_000_000 + span_ms
    specs = [b.cluster.spec(deadline_ms=deadline_ms) for _ in range(count)]
    b.specs += specs
    b.submit(n, specs)


@when(parsers.parse("the last {count:d} works are cancelled at instance {n:d}"))
def cancel(b, count, n):
    time.sleep(0.3)
    work_ids = [spec["work_id"] for spec in b.specs[-count:]]
    reply = b.cluster.post(b.name(n), "/cancel", {"work_ids": work_ids})
    assert reply.status == 200, reply


@when(parsers.parse("{count:d} callers ask instance {n:d} and leave at once"))
def ask_and_leave(b, count, n):
    service = b.cluster.file["services"][0]["name"]
    for _ in range(count):
        connection = http.client.HTTPConnection("127.0.0.1", b.cluster.ports[b.name(n)])
        connection.request("GET", f"/lookup/{service}/gone?take_ms=100&q=gone")
        connection.close()


@when(parsers.parse("worker {n:d} loses the answers of the next {count:d} starts"))
def lose_starts(b, n, count):
    b.cluster.switch(b.worker(n), lose_starts=count)


@when(parsers.parse("worker {n:d} is paused for {span_ms:d} ms"))
def pause_worker(b, n, span_ms):
    process = b.cluster.workers[b.worker(n)]
    process.pause()
    time.sleep(span_ms / 1000)
    process.resume()


@when(parsers.parse("{count:d} refused at-most-once works are sent to instance {n:d}"))
def send_refused(b, count, n):
    specs = [b.cluster.spec(at_most_once=True) for _ in range(count)]
    reply = b.submit(n, specs).result()
    for answer in reply.document["answers"]:
        assert answer["outcome"] == "not_run", answer
        assert answer["reason"] == "log_unavailable", answer
        assert not b.cluster.starts_of(answer["work_id"])
