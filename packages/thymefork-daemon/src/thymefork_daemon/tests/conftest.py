"""What the tests of the daemon's parts share."""

import pytest

from .fakes import FakeTimers, patch_clock


@pytest.fixture
def timers(monkeypatch, request):
    """Return timers on a clock that the test moves; its module's `CLOCK_MODULES` read it."""
    timers = FakeTimers()
    patch_clock(monkeypatch, timers, *request.module.CLOCK_MODULES)
    return timers
