"""Reading both clocks."""

import time

from thymefork_core.instant import Instant

__all__ = ["mono_ms", "now"]

_NS_PER_MS = 1_000_000


def mono_ms():
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // _NS_PER_MS


def now():
    """Return this moment on both clocks."""
    return Instant(wall_ms=time.time_ns() // _NS_PER_MS, mono_ms=mono_ms())
