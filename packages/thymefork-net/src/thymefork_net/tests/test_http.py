"""The HTTP server and the connection pool, tested against each other."""

import socket

import pytest

from thymefork_net import steady_ms
from thymefork_net.http import (
    HttpCall,
    HttpPool,
    HttpServer,
    ServerLimits,
)

HOST = "127.0.0.1"


def call(address, answers, **fields):
    values = {"method": "POST", "target": "/x?y=1", "body": b"{}", **fields}
    values.setdefault("deadline_ms", steady_ms() + 2_000)
    return HttpCall(address=address, on_answer=answers.append, **values)


def test_sequential_calls_reuse_a_connection(loop, address, served):
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=2)
    _, requests = served
    for number in range(3):
        answers = []
        pool.send(call(address, answers))
        loop.run_until(lambda number=number: len(requests) == number + 1)
        requests[-1].answer(200, b"ok")
        loop.run_until(lambda answers=answers: answers)
        assert (answers[0].status, answers[0].body) == (200, b"ok")
    assert pool.connect_count == 1
    assert (requests[0].path, requests[0].query) == ("/x", "y=1")


def test_unanswered_call_fails_at_its_deadline(loop, address, served):
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    answers = []
    pool.send(call(address, answers, deadline_ms=steady_ms() + 60))
    loop.run_until(lambda: answers)
    assert answers[0].status == 0 and answers[0].sent


def test_unwanted_call_is_not_sent(loop, address, served):
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    answers = []
    pool.send(call(address, answers, still_wanted=lambda: False))
    loop.run_until(lambda: answers)
    assert answers[0].status == 0 and not answers[0].sent
    assert not served[1]


def test_unwanted_calls_open_and_close_no_connections(loop, address, served):
    """Guards against opening a connection for each retry of an unwanted call."""
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    unwanted, answers = [], []
    for _ in range(3):
        pool.send(call(address, unwanted, still_wanted=lambda: False))
    loop.run_until(lambda: len(unwanted) == 3)
    assert pool.connect_count == 0
    for number in (1, 2):
        pool.send(call(address, answers, still_wanted=lambda: True))
        loop.run_until(lambda number=number: len(served[1]) == number)
        served[1][-1].answer(200, b"ok")
        loop.run_until(lambda number=number: len(answers) == number)
        pool.send(call(address, unwanted, still_wanted=lambda: False))
    loop.run_until(lambda: len(unwanted) == 5)
    assert pool.connect_count == 1
    assert not any(answer.status or answer.sent for answer in unwanted)


def test_call_queued_behind_unwanted_ones_is_sent(loop, address, served):
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    first, unwanted, last = [], [], []
    wanted = [True]
    pool.send(call(address, first))
    for _ in range(2):
        pool.send(call(address, unwanted, still_wanted=lambda: bool(wanted)))
    pool.send(call(address, last))
    loop.run_until(lambda: served[1])
    wanted.clear()
    served[1][0].answer(200, b"ok")
    loop.run_until(lambda: len(served[1]) == 2)
    served[1][1].answer(200, b"ok")
    loop.run_until(lambda: last)
    assert first[0].status == last[0].status == 200
    assert len(unwanted) == 2 and not any(answer.sent for answer in unwanted)
    assert pool.connect_count == 1


def test_call_to_a_closed_port_fails_unsent(loop, address):
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    answers = []
    pool.send(call(address, answers))
    loop.run_until(lambda: answers)
    assert answers[0].status == 0 and not answers[0].sent


def send_raw(loop, address, data):
    """Send bytes on a new connection and return its socket."""
    sock = socket.create_connection((address.host, address.port))
    sock.sendall(data)
    sock.setblocking(False)
    return sock


def read_until(loop, sock, enough):
    got = bytearray()

    def ready():
        try:
            got.extend(sock.recv(65_536))
        except BlockingIOError:
            return False
        return enough in got

    loop.run_until(ready)
    return bytes(got)


def test_body_over_the_limit_is_refused_and_next_request_served(loop, address, served):
    server, requests = served
    server.limits = ServerLimits(body_bytes=10)
    big = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n" + b"x" * 50
    small = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
    sock = send_raw(loop, address, big + small)
    loop.run_until(lambda: requests)
    requests[0].answer(200, b"fine")
    got = read_until(loop, sock, b"fine")
    assert got.startswith(b"HTTP/1.1 413") and b"HTTP/1.1 200" in got
    assert [request.path for request in requests] == ["/b"]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 2_000 + b"\r\n\r\n", b"431"),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", b"400"),
    ],
)
def test_invalid_or_too_large_head_is_refused(loop, address, served, data, status):
    served[0].limits = ServerLimits(header_bytes=1_000)
    sock = send_raw(loop, address, data)
    assert b"HTTP/1.1 " + status in read_until(loop, sock, b"\r\n\r\n")
    assert not served[1]


def test_pipelined_requests_are_answered_in_order(loop, address, served):
    one = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
    sock = send_raw(loop, address, one % 1 + one % 2)
    loop.run_until(lambda: len(served[1]) == 2)
    served[1][1].answer(200, b"second")
    served[1][0].answer(200, b"first!")
    got = read_until(loop, sock, b"second")
    assert got.index(b"first!") < got.index(b"second")


def test_draining_server_answers_and_then_closes(loop, address, served):
    server, requests = served
    sock = send_raw(loop, address, b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    loop.run_until(lambda: requests)
    server.drain()
    requests[0].answer(200, b"whole")
    got = read_until(loop, sock, b"whole")
    assert b"Connection: close" in got
    loop.run_until(lambda: server.open_connections == 0)


def test_request_is_open_until_its_whole_answer_was_sent(loop, address, served):
    """A process exits once none is open, which would lose unsent data."""
    server, requests = served
    body = b"x" * 8_000_000  # more than both sockets' buffers hold
    with send_raw(loop, address, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n") as sock:
        loop.run_until(lambda: requests)
        requests[0].answer(200, body)
        assert server.open_requests == 1
        assert read_until(loop, sock, body).endswith(body)
        loop.run_until(lambda: not server.open_requests)


def test_head_that_arrives_too_slowly_is_answered_408(loop, address, served):
    served[0].limits = ServerLimits(header_timeout_ms=100)
    sock = send_raw(loop, address, b"GET /a HTTP/1.1\r\nHost:")
    assert b"408" in read_until(loop, sock, b"\r\n\r\n")


def test_connection_of_a_timed_out_call_is_reset(loop, address):
    """Otherwise a call could be delivered after its sender has ended."""
    with socket.socket() as listener:
        listener.bind((address.host, address.port))
        listener.listen()
        pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
        answers = []
        pool.send(call(address, answers, deadline_ms=steady_ms() + 100))
        loop.run_until(lambda: answers)
        peer, _ = listener.accept()
        peer.settimeout(1.0)
        with pytest.raises(ConnectionResetError):
            while peer.recv(65_536):
                pass
        peer.close()


class UnresponsiveServer:
    """Answer calls until `stop_answering`; after that only on new connections."""

    def __init__(self, loop, address):
        self.unresponsive = set()
        self.connections = []
        self._server = HttpServer(
            sockets=loop.sockets,
            timers=loop.timers,
            address=address,
            on_request=self._on_request,
        )

    def _on_request(self, request):
        connection = request.connection
        if connection not in self.connections:
            self.connections.append(connection)
        if connection not in self.unresponsive:
            request.answer(200, b"ok")

    def stop_answering(self):
        """Leave all further calls on the open connections unanswered."""
        self.unresponsive = set(self.connections)


@pytest.fixture
def pool_with_stale_connections(loop, address):
    """Return a pool with two idle connections that are both unresponsive."""
    unresponsive_server = UnresponsiveServer(loop, address)
    pool = HttpPool(
        sockets=loop.sockets,
        timers=loop.timers,
        max_per_address=2,
        closes_idle_on_timeout=True,
    )
    answers = []
    pool.send(call(address, answers))
    pool.send(call(address, answers))
    loop.run_until(lambda: len(answers) == 2)
    assert pool.connect_count == 2
    unresponsive_server.stop_answering()
    return pool


def test_after_a_timeout_the_next_call_takes_a_new_connection(
    loop, address, pool_with_stale_connections
):
    first, second = [], []
    pool_with_stale_connections.send(call(address, first, deadline_ms=steady_ms() + 60))
    loop.run_until(lambda: first)
    assert first[0].status == 0
    pool_with_stale_connections.send(
        call(address, second, deadline_ms=steady_ms() + 500)
    )
    loop.run_until(lambda: second)
    assert second[0].status == 200 and pool_with_stale_connections.connect_count == 3


def test_retry_on_a_new_connection_is_answered(
    loop, address, pool_with_stale_connections
):
    first, retry = [], []
    pool_with_stale_connections.send(call(address, first))
    pool_with_stale_connections.send(call(address, retry, wants_new_connection=True))
    loop.run_until(lambda: retry)
    assert retry[0].status == 200 and not first


def test_first_body_is_sent_in_the_first_call_on_a_connection(loop, address, served):
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    _, requests = served
    calls, answers = [], []
    for number in range(2):
        calls.append(call(address, answers, first_body=b"first"))
        pool.send(calls[-1])
        loop.run_until(lambda number=number: len(requests) == number + 1)
        requests[-1].answer(200, b"ok")
        loop.run_until(lambda number=number: len(answers) == number + 1)
    assert [request.body for request in requests] == [b"first", b"{}"]
    assert [one.is_first_on_connection for one in calls] == [True, False]


def test_unlimited_calls_neither_wait_nor_keep_others_waiting(loop, address, served):
    """Guards against urgent calls that wait until slow ones are answered."""
    pool = HttpPool(sockets=loop.sockets, timers=loop.timers, max_per_address=1)
    _, requests = served
    unlimited, limited = [], []
    for _ in range(3):
        pool.send(call(address, unlimited, is_limited=False))
    for _ in range(2):
        pool.send(call(address, limited))
    loop.run_until(lambda: len(requests) == 4)
    pool.send(call(address, unlimited, is_limited=False))
    loop.run_until(lambda: len(requests) == 5)
    for request in requests[:3]:
        request.answer(200, b"ok")
    loop.run_until(lambda: len(unlimited) == 3)
    assert not limited and len(requests) == 5
    requests[3].answer(200, b"ok")
    loop.run_until(lambda: len(requests) == 6)
    assert len(limited) == 1
    assert pool.connect_count == 5
