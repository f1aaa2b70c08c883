"""Steps for lookups and streams."""

import time

from pytest_bdd import parsers, then, when

from thymefork_standin.http import call


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
