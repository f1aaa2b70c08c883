"""Watch on the operators' configuration."""

from types import SimpleNamespace

import pytest

from thymefork_daemon import configuration_watch as watch_module
from thymefork_daemon.configuration_watch import ConfigurationWatch
from thymefork_machines.store import NewestResult, ReadResult, StoreRecord

from .fakes import FailsOnceListener

CLOCK_MODULES = ()


class FakeReader:
    def __init__(self):
        self.calls = []

        self.pages_after = []
        self.offsets = []

    def newest(self, *, topic, on_result, after=""):
        self.calls.append(on_result)
        self.pages_after.append(after)

    def read(self, *, topic, offset, wait_ms, on_result):
        self.calls.append(on_result)
        self.offsets.append(offset)


@pytest.fixture
def reader(monkeypatch):
    decode = lambda value: SimpleNamespace(version=int(value), queues=())
    monkeypatch.setattr(watch_module, "decode_configuration", decode)
    return FakeReader()


def version(number):
    return StoreRecord(key="config", value=str(number).encode())


def newest(number):
    return NewestResult(records=(version(number),), next_key="", end_offset=1)


def follow(reader, timers, listener):
    watch = ConfigurationWatch(store=reader, timers=timers, on_change=listener)
    watch.start()
    return watch


def test_watch_continues_after_a_listener_raised(reader, timers):
    listener = FailsOnceListener()
    watch = follow(reader, timers, listener)
    with pytest.raises(RuntimeError):  # the HTTP pool logs it
        reader.calls.pop()(newest(1))
    reader.calls.pop()(ReadResult(records=(), next_offset=1))
    assert [found.version for found in listener.notifications] == [1]
    reader.calls.pop()(ReadResult(records=(version(2),), next_offset=2))
    assert [found.version for found in listener.notifications] == [1, 2]
    assert watch.current.version == 2 and len(reader.calls) == 1


def test_older_version_is_ignored(reader, timers):
    notifications = []
    watch = follow(reader, timers, notifications.append)
    reader.calls.pop()(newest(2))
    records = (version(1), version(3), version(2))
    reader.calls.pop()(ReadResult(records=records, next_offset=4))
    assert watch.current.version == 3
    assert [found.version for found in notifications] == [2, 3]


# A configuration that stood on a later page was never read.
def test_configuration_is_found_on_a_later_page(reader, timers):
    watch = follow(reader, timers, lambda configuration: None)
    others = (StoreRecord(key="aaa", value=b"{}"),)
    reader.calls.pop()(NewestResult(records=others, next_key="aaa", end_offset=7))
    assert reader.pages_after == ["", "aaa"] and not reader.offsets
    reader.calls.pop()(NewestResult(records=(version(4),), next_key="", end_offset=9))
    assert watch.current.version == 4
    assert reader.offsets == [7]
