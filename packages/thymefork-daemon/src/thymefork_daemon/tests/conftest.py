"""Fixtures shared by the daemon's tests."""

import pytest

from .fakes import FakeTimers, patch_clock


@pytest.fixture
def timers(monkeypatch, request):
    """Return timers on a fake clock, which the module's `CLOCK_MODULES` read too."""
    timers = FakeTimers()
    patch_clock(monkeypatch, timers, *request.module.CLOCK_MODULES)
    return timers
