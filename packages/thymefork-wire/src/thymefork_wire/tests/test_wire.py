"""Messages and records come back as they were sent; junk is refused."""

import orjson
import pytest
from hypothesis import given, strategies as st

from thymefork_core import peer as p
from thymefork_core.exceptions import ConfigError, ProtocolError
from thymefork_core.ledger import HallState, OpenAttempt, TaskState
from thymefork_core.log import Stream
from thymefork_core.model import (
    Answer,
    OperatorsFile,
    Outcome,
    Resources,
    WorkKind,
    WorkSpec,
)
from thymefork_core.reasons import Reason
from thymefork_wire import FrameReader, RecordCodec, frame
from thymefork_wire.envelope import decode_envelope, encode_envelope
from thymefork_wire.strict import parse_document

NEED = Resources(cpu_milli=1, memory_mb=2, accelerators=3)
SPEC = WorkSpec(
    work_id="w",
    kind=WorkKind.JOB,
    team="t",
    resources=NEED,
    submitted_at_ms=1,
    deadline_ms=2,
    tasks=3,
)
ANSWER = Answer(work_id="w", outcome=Outcome.NOT_RUN, reason=Reason.DEADLINE)
MESSAGES = [
    p.Heartbeat(
        name="a",
        hall="h",
        incarnation="a~1",
        seq=1,
        echo=2,
        config_version=3,
        leaving=True,
        log_down=False,
        free=NEED,
        largest_free=NEED,
        free_slots={"s": 4},
        fenced=("b~1",),
        reserve_for="w",
        reserve_until_ms=5,
    ),
    p.Beat(seq=1, echo=2),
    p.Place(
        place_id="1",
        spec=SPEC,
        items=(p.PlaceItem(work_id="w", task=0, attempt=1),),
        hold=True,
        until_ms=4,
    ),
    p.PlaceReply(place_id="1", granted=(0, 2)),
    p.Commit(place_id="1"),
    p.Release(place_id="1"),
    p.Join(work_id="w", cancel=True),
    p.JoinReply(answer=ANSWER),
    p.HopLookup(hop_id="1", service_name="s", target="x", body=b"\x00", deadline_ms=9),
    p.HopReply(hop_id="1", status=200, body=b"\xff"),
    p.ConfigPull(above_version=1),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_comes_back(message):
    assert decode_envelope(encode_envelope("me", message)) == ("me", message)


@given(st.binary(max_size=200))
def test_junk_is_no_message(data):
    with pytest.raises(ProtocolError):
        decode_envelope(data)


@given(st.lists(st.binary(max_size=40), max_size=8), st.integers(1, 7))
def test_frames_come_back_whatever_the_pieces(messages, size):
    data = b"".join(frame(message) for message in messages)
    reader = FrameReader(limit_bytes=100)
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    assert [m for piece in pieces for m in reader.feed(piece)] == messages


def test_a_checkpoint_comes_back():
    attempt = OpenAttempt(
        work_id="w",
        task=0,
        attempt=1,
        worker="k",
        resources=NEED,
        team="t",
        at_most_once=True,
    )
    state = HallState(next_offset=7, owners={"k": "a~1"}, last_seen={"a~1": 6})
    state.tasks["w"] = {0: TaskState(attempts=1, open=attempt, ran=True)}
    state.closed["v"] = Reason.CANCELLED
    body = orjson.loads(RecordCodec.encode_state(state))
    assert RecordCodec.decode_state(Stream.HALL_CHECKPOINT, body) == state


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"halls": "h"}, "$.halls"),
        ({"bogus": 1}, "unknown field bogus; remove it"),
        ({"services": [{"name": "s", "slots": 0, "connections": 1}]}, "$.services[0]"),
        ({"teams": [{"name": 1}]}, "$.teams[0].name"),
        ({"region": None}, "$.region"),
    ],
)
def test_a_wrong_file_names_the_path_and_the_fix(change, says):
    file = {
        "region": "r",
        "halls": [],
        "workers": [],
        "services": [],
        "teams": [],
        "policies": [],
        **change,
    }
    with pytest.raises(ConfigError) as caught:
        parse_document(orjson.dumps(file), OperatorsFile, name="file.json")
    assert says in str(caught.value)
    assert str(caught.value).startswith("[check] file.json:")
