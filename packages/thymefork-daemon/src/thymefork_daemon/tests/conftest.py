"""What the tests of the daemon's parts share."""

import pytest

from .fakes import FakeTimers, use_clock


@pytest.fixture
def timers(monkeypatch, request):
    """Return timers on a clock that the test moves; its module's `CLOCKED` read it."""
    timers = FakeTimers()
    use_clock(monkeypatch, timers, *request.module.CLOCKED)
    return timers
