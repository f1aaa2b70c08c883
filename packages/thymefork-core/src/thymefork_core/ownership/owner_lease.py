"""The owner's own view of its lease, on its monotonic clock."""

__all__ = ["OwnerLease"]


class OwnerLease:
    """Run from the moment the last acknowledged renewal began."""

    def __init__(self, *, lease_ms):
        self.lease_ms = lease_ms
        self.deadline_mono_ms = 0

    def acknowledged(self, began_mono_ms):
        """Extend the lease from the moment a renewal was sent."""
        deadline_ms = began_mono_ms + self.lease_ms
        self.deadline_mono_ms = max(self.deadline_mono_ms, deadline_ms)

    def is_live(self, mono_ms):
        """Tell whether the lease still runs."""
        return mono_ms < self.deadline_mono_ms
