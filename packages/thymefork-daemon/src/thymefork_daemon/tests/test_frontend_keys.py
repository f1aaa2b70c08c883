"""API keys: which requests are admitted, and for which account."""

from types import SimpleNamespace

import orjson
import pytest
from attrs import define, field

from thymefork_cells import effects as fx
from thymefork_daemon import frontend as frontend_module
from thymefork_daemon.frontend import Frontend
from thymefork_machines import decode_configuration

from .fakes import FakeMetrics

JOB = "5c0e7a21d94b36f8"
CLOCK_MODULES = (frontend_module,)
KEY, OTHER_KEY = "key-of-a", "key-of-b"


@define
class FakeRequest:
    method: str = "GET"
    path: str = f"/q/{JOB}"
    body: bytes = b""
    headers: dict = field(factory=dict)
    arrived_ms: float = 0.0
    keep_alive: bool = True
    answers: list = field(factory=list)

    def answer(self, status, body=b"", headers=()):
        self.answers.append(status)


class FakeGateway:
    def __init__(self):
        self.asked = []

    def request(
        self, kind, queue, job_id, data, deadline_ms, respond, *, account_name=""
    ):
        self.asked.append((kind, account_name))
        respond(fx.Reply(reply_to=None, outcome=fx.Outcome.STATE, state="queued"))


def configuration(version=1, **keys):
    rows = [
        {"name": name, "api_keys": [key] if key else []} for name, key in keys.items()
    ]
    queues = [
        {"name": "r-1", "host": "h", "path_prefix": "/q/", "service": "s"},
        {
            "name": "r-2",
            "host": "h",
            "path_prefix": "/p/",
            "service": "s",
            "public": True,
        },
    ]
    document = {
        "version": version,
        "routes": queues,
        "services": [],
        "tenants": rows,
    }
    return decode_configuration(orjson.dumps(document))


@pytest.fixture
def daemon(monkeypatch, timers):
    monkeypatch.setattr(
        frontend_module, "HttpServer", lambda **fields: SimpleNamespace()
    )
    return SimpleNamespace(
        sockets=None,
        timers=timers,
        settings=SimpleNamespace(
            front=None, store=SimpleNamespace(max_record_bytes=262_144)
        ),
        metrics=FakeMetrics(),
        gateway=FakeGateway(),
        readiness=SimpleNamespace(is_disconnected=False),
        configuration=configuration(a=KEY, b=OTHER_KEY),
    )


def ask(daemon, path=f"/q/{JOB}", **headers):
    request = FakeRequest(path=path, headers={"host": "h", **headers})
    Frontend(daemon=daemon)._on_request(request)
    return request.answers


def test_known_key_selects_its_account(daemon):
    assert ask(daemon, **{"api-key": OTHER_KEY}) == [200]
    assert daemon.gateway.asked == [("read", "b")]


@pytest.mark.parametrize(
    ("headers", "reason"),
    [
        ({}, "no_key"),
        ({"api-key": ""}, "no_key"),
        ({"api-key": "never-held"}, "unknown_key"),
        ({"api-key": f"{KEY}, {OTHER_KEY}"}, "unknown_key"),
        ({"api-key": f"Bearer {KEY}"}, "unknown_key"),
    ],
)
def test_missing_or_unknown_key_is_refused(daemon, headers, reason):
    assert ask(daemon, **headers) == [401]
    assert not daemon.gateway.asked
    assert daemon.metrics.counts == [("refusals", reason)]


def test_public_queue_needs_no_key(daemon):
    assert ask(daemon, path=f"/p/{JOB}") == [200]
    assert ask(daemon, path=f"/p/{JOB}", **{"api-key": "never-held"}) == [200]
    assert daemon.gateway.asked == [("read", ""), ("read", "")]


def test_known_key_selects_its_account_on_a_public_queue(daemon):
    ask(daemon, path=f"/p/{JOB}", **{"api-key": KEY})
    assert daemon.gateway.asked == [("read", "a")]


def test_revoked_key_is_refused_on_an_open_connection(daemon):
    front = Frontend(daemon=daemon)
    first = FakeRequest(headers={"host": "h", "api-key": KEY})
    front._on_request(first)
    daemon.configuration = configuration(2, a="", b=OTHER_KEY)
    second = FakeRequest(headers={"host": "h", "api-key": KEY})
    front._on_request(second)
    assert (first.answers, second.answers) == ([200], [401])


def test_moved_key_selects_its_new_account(daemon):
    daemon.configuration = configuration(2, a=OTHER_KEY, b=KEY)
    ask(daemon, **{"api-key": KEY})
    assert daemon.gateway.asked == [("read", "b")]


def test_unknown_queue_is_reported_without_a_key(daemon):
    assert ask(daemon, path="/none/") == [404]
