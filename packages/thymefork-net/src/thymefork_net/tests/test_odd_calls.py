"""Calls that can't be connected or encoded."""

import pytest

from thymefork_net import Address
from thymefork_net.http import HttpPool

from .test_http import call


# Guards against calls without an outcome, whose callers wait for good.
@pytest.mark.parametrize(
    "address",
    [
        Address(host="worker.invalid", port=80),
        Address(host="10.0.0.1\x00", port=80),
        Address(host="agent-\udce9", port=80),
        Address(host="127.0.0.1", port=70_000),
        Address(host="127.0.0.1", port=-1),
    ],
    ids=["name", "NUL", "no text", "port too large", "negative port"],
)
def test_call_to_an_odd_address_fails_unsent(loop, address):
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    answers = []
    for _ in range(3):
        pool.send(call(address, answers))
    loop.run_until(lambda: len(answers) == 3)
    assert not any(answer.status or answer.sent for answer in answers)


# Guards against calls without an outcome, and against headers that a value adds.
@pytest.mark.parametrize("value", ["agent-\xe9", "a\r\nX: y", "a\x00b", "agent-\udce9"])
def test_call_with_an_odd_header_fails_unsent(loop, address, served, value):
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    odd, answers = [], []
    for _ in range(2):
        pool.send(call(address, odd, headers=(("Expected-Instance", value),)))
    pool.send(call(address, answers))
    loop.run_until(lambda: len(odd) == 2 and served[1])
    served[1][0].answer(200, b"ok")
    loop.run_until(lambda: answers)
    assert not any(answer.status or answer.sent for answer in odd)
    assert len(served[1]) == 1 and answers[0].status == 200
