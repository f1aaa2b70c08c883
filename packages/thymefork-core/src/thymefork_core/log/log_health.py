"""Whether the platform's log can be reached from here."""

from attrs import define

__all__ = ["LogHealth"]


@define(kw_only=True)
class LogHealth:
    """Judge the log by its last good answer and by failures since."""

    patience_ms: int
    last_good_mono_ms: int = -(10**9)
    failures: int = 0

    def good(self, mono_ms):
        """Note an answer."""
        self.last_good_mono_ms = mono_ms
        self.failures = 0

    def failed(self):
        """Note a failed call."""
        self.failures += 1

    def is_down(self, mono_ms):
        """Tell whether new recorded work should be refused."""
        silent_ms = mono_ms - self.last_good_mono_ms
        return self.failures >= 2 or silent_ms > self.patience_ms
