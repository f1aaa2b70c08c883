"""Bad input gets a clear answer, harms no other caller and leaks nothing."""

import socket
import struct
import time

import orjson
import pytest

from thymefork_standin.http import wait_until

HOST = "127.0.0.1"


def exchange(port, data, *, wait_s=3.0, pause_s=0.0):
    """Send raw bytes and return all that comes until the end or a silence."""
    with socket.create_connection((HOST, port), timeout=wait_s) as sock:
        for part in data if isinstance(data, list) else [data]:
            sock.sendall(part)
            time.sleep(pause_s)
        received = b""
        try:
            while part := sock.recv(65536):
                received += part
        except TimeoutError:
            pass
        return received


def post(path, body, head=b""):
    line = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n"
    return line.encode() + head + b"\r\n" + body


@pytest.fixture
def port(cluster):
    return cluster.ports[cluster.names[0]]


@pytest.fixture(autouse=True)
def still_serves(cluster, port):
    """Show after each test that others are served and that nothing is kept."""
    yield
    name = cluster.names[0]
    assert cluster.lookup(name, "item?q=1").document["q"] == "1"

    def nothing_open():
        return cluster.get(name, "/open").document == {"requests": 1, "partial": 0}

    wait_until(nothing_open, timeout_s=5.0, what="nothing kept of the bad input")


@pytest.mark.parametrize(
    ("data", "status", "says"),
    [
        (post("/work", b'{"works": ['), b"400", b"write valid JSON"),
        (post("/work", b'{"works": [], "bogus": 1}'), b"400", b"bogus"),
        (post("/work", b'{"works": []}'), b"400", b"send 1 to"),
        (post("/work", b"[1, 2]"), b"400", b"body"),
        (post("/cancel", b'{"work_ids": [1]}'), b"400", b"$.work_ids"),
        (post("/nowhere", b"{}"), b"404", b"no such path"),
        (b"PUT /work HTTP/1.1\r\nHost: a\r\n\r\n", b"405", b"GET or POST"),
        (b"GET /x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 4000, b"431", b"too large"),
        (post("/work", b"x" * 70000), b"413", b"too large"),
        (
            b"POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: abc\r\n\r\n",
            b"400",
            b"bad request",
        ),
        (
            b"POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
            b"400",
            b"bad request",
        ),
        (
            b"POST /work HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"411",
            b"length required",
        ),
        (b"rubbish\r\n\r\n", b"400", b""),
        (b"GET /lookup/none/x HTTP/1.1\r\nHost: a\r\n\r\n", b"404", b"unknown_service"),
        (
            b"GET /lookup/catalogo/x HTTP/1.1\r\nHost: a\r\nDeadline-Ms: soon\r\n\r\n",
            b"400",
            b"Deadline-Ms",
        ),
    ],
)
def test_bad_request_is_answered_clearly(port, data, status, says):
    received = exchange(port, data, wait_s=1.0)
    assert received.startswith(b"HTTP/1.1 " + status), received
    assert says in received


def test_a_mistyped_work_names_the_path_and_the_fix(cluster):
    spec = {**cluster.spec(), "deadline_ms": "soon", "extra": 1}
    reply = cluster.post(cluster.names[0], "/work", {"works": [spec]})
    assert reply.status == 400
    error = reply.document["error"]
    assert "$.works[0].deadline_ms" in error
    assert "unknown field extra; remove it" in error


def test_two_pipelined_requests_get_one_answer_and_a_close(port):
    """The library lost the second of two pipelined requests in silence."""
    one = b"GET /lookup/catalogo/x?q=first HTTP/1.1\r\nHost: a\r\n\r\n"
    received = exchange(port, one + one.replace(b"first", b"second"))
    assert received.count(b"HTTP/1.1 200") == 1
    assert b"first" in received and b"second" not in received
    assert b"Connection: close" in received


def test_a_second_request_sent_before_the_answer_closes_after_it(port):
    one = b"GET /lookup/catalogo/x?q=first&take_ms=300 HTTP/1.1\r\nHost: a\r\n\r\n"
    received = exchange(port, [one, one.replace(b"first", b"second")], pause_s=0.05)
    assert received.count(b"HTTP/1.1 200") == 1
    assert b"Connection: close" in received


def test_a_caller_that_leaves_in_the_middle_of_a_body_leaves_nothing(port):
    """The library kept the parser of a caller that had gone."""
    for _ in range(20):
        with socket.create_connection((HOST, port)) as sock:
            sock.sendall(post("/work", b"x" * 1000)[:-500])


def test_a_caller_that_leaves_before_its_late_answer_leaves_nothing(port):
    for _ in range(10):
        with socket.create_connection((HOST, port)) as sock:
            sock.sendall(
                b"GET /lookup/catalogo/x?take_ms=200 HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            time.sleep(0.02)


def test_a_slow_sender_is_told_so(port):
    received = exchange(port, b"POST /work HTTP/1.1\r\nHost: a\r\n", wait_s=4.0)
    assert received.startswith(b"HTTP/1.1 408")


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00\x00\x08" + b"\xff" * 8,
        struct.pack("!I", 1_000_000) + b"too large",
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!I", 0),
    ],
)
def test_junk_on_the_peers_port_closes_only_that_connection(cluster, data):
    name = cluster.names[0]
    before = cluster.get(name, "/counters").document.get("refusal.bad_peer_message", 0)
    assert exchange(cluster.ports[f"{name}/peers"], data, wait_s=1.0) == b""
    after = cluster.get(name, "/counters").document["refusal.bad_peer_message"]
    assert after == before + 1


def test_settings_with_a_wrong_type_end_with_2_before_a_socket_opens(cluster, tmp_path):
    import subprocess
    import sys

    good = orjson.loads((cluster.folder / f"{cluster.names[0]}.json").read_bytes())
    path = tmp_path / "bad.json"
    path.write_bytes(orjson.dumps({**good, "http": {"host": "nowhere", "port": 0}}))
    done = subprocess.run(
        [sys.executable, "-m", "thymefork_entry.main", "--settings", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert str(path) in done.stderr
    assert "$.http" in done.stderr
