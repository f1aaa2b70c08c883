"""Watch on the list of workers, before, during and after an outage of the store."""

from types import SimpleNamespace

import orjson
import pytest

from thymefork_daemon import worker_list_watch as watch_module
from thymefork_daemon.worker_list_watch import WorkerListWatch
from thymefork_machines.store import NewestResult, ReadResult, StoreRecord

from .fakes import FailsOnceListener

CLOCK_MODULES = (watch_module,)


def entry(worker_id, machine="m-1"):
    document = {
        "address": "10.0.0.9:1",
        "service": "s",
        "zone": "hall-1",
        "state": "ready",
        "capacity": {"cpu": 8_000, "mem_mb": 32_000},
        "machine_id": machine,
    }
    return StoreRecord(key=worker_id, value=orjson.dumps(document))


class FakeReader:
    def __init__(self):
        self.calls = []

    def newest(self, *, topic, after, on_result):
        self.calls.append(on_result)

    def read(self, *, topic, offset, on_result):
        self.calls.append(on_result)

    def answer(self, result):
        self.calls.pop(0)(result)


@pytest.fixture
def harness(timers):
    reader, changes, unreadable = FakeReader(), [], []
    watch = WorkerListWatch(
        store=reader,
        timers=timers,
        on_change=lambda: changes.append(1),
        on_unreadable=lambda: unreadable.append(1),
    )
    watch.set_wanted(True)
    records = (entry("a"), entry("b", "m-2"))
    reader.answer(NewestResult(records=records, next_key="", end_offset=2))
    timers.run(400)
    return SimpleNamespace(
        watch=watch,
        reader=reader,
        timers=timers,
        changes=changes,
        unreadable=unreadable,
    )


def lapse(harness, *worker_ids, outage_ms):
    for _ in range(outage_ms // 400):
        harness.reader.answer(None)
        harness.timers.run(400)
    gone = tuple(StoreRecord(key=worker_id, value=b"") for worker_id in worker_ids)
    harness.reader.answer(ReadResult(records=gone, next_offset=9))


def test_deleted_entry_removes_its_worker(harness):
    lapse(harness, "a", outage_ms=0)
    assert set(harness.watch.entries) == {"b"}


def test_entries_lapsed_in_an_outage_are_kept_for_a_while(harness):
    lapse(harness, "a", "b", outage_ms=4_800)
    assert set(harness.watch.entries) == {"a", "b"}
    harness.timers.run(1_200)
    harness.reader.answer(ReadResult(records=(entry("a"),), next_offset=10))
    harness.timers.run(1_300)
    assert set(harness.watch.entries) == {"a"}


def test_lapsed_entry_is_replaced_by_its_machines_new_worker(harness):
    lapse(harness, "a", outage_ms=4_800)
    harness.timers.run(400)
    harness.reader.answer(ReadResult(records=(entry("c", "m-1"),), next_offset=10))
    assert set(harness.watch.entries) == {"b", "c"}


def test_watch_continues_after_a_listener_raised(timers):
    reader, listener = FakeReader(), FailsOnceListener()
    watch = WorkerListWatch(
        store=reader, timers=timers, on_change=listener, on_unreadable=lambda: None
    )
    watch.set_wanted(True)
    result = NewestResult(records=(entry("a"),), next_key="", end_offset=1)
    with pytest.raises(RuntimeError):  # the HTTP pool logs it
        reader.answer(result)
    timers.run(500)
    reader.answer(ReadResult(records=(), next_offset=1))
    assert set(watch.entries) == {"a"} and len(listener.notifications) == 1
    timers.run(500)
    reader.answer(ReadResult(records=(), next_offset=1))
    assert len(listener.notifications) == 1
    timers.run(500)
    assert len(reader.calls) == 1


def test_entries_lapsed_in_an_outage_are_marked(harness):
    """An outdated entry may list more capacity than the worker has left."""
    lapse(harness, "a", outage_ms=4_000)
    lapsed = {key: one.is_lapsed for key, one in harness.watch.entries.items()}
    assert lapsed == {"a": True, "b": False}
    back = ReadResult(records=(entry("a"),), next_offset=10)
    harness.timers.run(400)
    harness.reader.answer(back)
    assert not any(one.is_lapsed for one in harness.watch.entries.values())


def test_list_is_as_old_as_its_request(harness):
    """A paused process must not take an old answer for a recent one."""
    asked_ms = harness.timers.now_ms
    harness.timers.run(5_000)  # paused while the answer waits
    harness.reader.answer(ReadResult(records=(), next_offset=2))
    assert harness.watch.as_of_ms == asked_ms


def test_stale_list_is_read_more_often(harness):
    for _ in range(8):
        harness.reader.answer(None)
        harness.timers.run(400)
    harness.reader.answer(None)
    harness.timers.run(150)
    assert harness.reader.calls


@pytest.mark.parametrize("invalid_value", [b"\xff", b"[]", b'{"service": 7}', b"{}"])
def test_invalid_entry_removes_its_worker_until_rewritten(harness, invalid_value):
    record = StoreRecord(key="a", value=invalid_value)
    harness.reader.answer(ReadResult(records=(record,), next_offset=3))
    assert set(harness.watch.entries) == {"b"}
    assert len(harness.unreadable) == 1
    harness.timers.run(400)
    harness.reader.answer(ReadResult(records=(entry("a"),), next_offset=4))
    assert set(harness.watch.entries) == {"a", "b"}


def test_invalid_new_entry_leaves_the_others(harness):
    record = StoreRecord(key="z", value=b"\x00")
    harness.reader.answer(
        ReadResult(records=(record, entry("c", "m-3")), next_offset=4)
    )
    assert set(harness.watch.entries) == {"a", "b", "c"}


def test_unreadable_records_are_counted_and_passed(harness):
    """Guards against a list that is not followed beyond an unreadable record."""
    records = (entry("c", "m-3"),)
    harness.reader.answer(ReadResult(records=records, next_offset=4, unreadable=2))
    assert set(harness.watch.entries) == {"a", "b", "c"}
    assert len(harness.unreadable) == 2


def test_entry_under_overlong_id_names_no_worker(harness):
    """Guards against a worker whose id is too long for the keys of its records."""
    result = ReadResult(records=(entry("k" * 255, "m-3"),), next_offset=3)
    harness.reader.answer(result)
    assert set(harness.watch.entries) == {"a", "b"}
    assert len(harness.unreadable) == 1


def test_entry_of_another_service_does_not_replace_lapsed_worker(harness):
    """Guards against a worker dropped for an agent of another writer on its machine."""
    lapse(harness, "a", outage_ms=4_800)
    harness.timers.run(400)
    agent = entry("agent-1", "m-1")
    document = orjson.loads(agent.value) | {"service": "agents"}
    agent = StoreRecord(key=agent.key, value=orjson.dumps(document))
    harness.reader.answer(ReadResult(records=(agent,), next_offset=10))
    assert set(harness.watch.entries) == {"a", "b", "agent-1"}
