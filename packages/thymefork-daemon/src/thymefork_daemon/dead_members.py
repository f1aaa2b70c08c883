"""Members to remove from the group because their process is gone."""

from attrs import define

from .membership import address_of_member

__all__ = ["DeadMembers"]

# A refused connection refers to the member that is listed now, not to a later
# incarnation; no process restarts within this time.
DEAD_MARK_TTL_MS = 250.0
# The store answers a leave in 5 to 10 ms. A member that stays listed costs seven leaves
# a second at most, for the second or so after which its membership lapses by itself.
LEAVE_RETRY_DELAY_MS = 150.0
NEVER_MS = float("-inf")


@define(kw_only=True)
class _Leave:
    """Hold when a member's removal was last sent, and when it was last confirmed."""

    sent_ms: float
    done_ms: float = NEVER_MS


class DeadMembers:
    """Track which addresses were marked dead and the removal of their members.

    A mark expires after a moment, or once the member is out. Former incarnations of
    this instance stay dead.
    """

    def __init__(self, *, own_id):
        self._own_id = own_id
        self._own_address = address_of_member(own_id)
        self._marked_ms = {}
        self._unread = set()
        self._leaves = {}

    def mark_dead(self, address, *, now_ms):
        """Mark an address as dead."""
        self._marked_ms[address] = now_ms
        self._unread.add(address)

    def on_members_read(self):
        """Record that the members at all marked addresses were read."""
        self._unread.clear()

    def needs_reading(self, now_ms):
        """Return whether an address is marked whose members were not read since."""
        return any(self._is_dead(address, now_ms) for address in self._unread)

    def should_remove(self, member_id, now_ms):
        """Return whether a listed member has to be removed now."""
        address = address_of_member(member_id)
        if member_id == self._own_id or not self._is_dead(address, now_ms):
            return False
        leave = self._leaves.get(member_id)
        if leave is None:
            return True
        if now_ms < leave.sent_ms + LEAVE_RETRY_DELAY_MS:
            return False
        # A member that is listed again after its removal has rejoined.
        was_removed = leave.done_ms >= self._marked_ms[address]
        return address == self._own_address or not was_removed

    def record_leave_sent(self, member_id, *, now_ms):
        """Record that the store was asked to remove a member."""
        leave = self._leaves.setdefault(member_id, _Leave(sent_ms=now_ms))
        leave.sent_ms = now_ms

    def record_leave_done(self, member_id, *, now_ms):
        """Record that a member was removed."""
        self._leaves[member_id].done_ms = now_ms

    def _is_dead(self, address, now_ms):
        marked_ms = self._marked_ms.get(address, NEVER_MS)
        if address == self._own_address:
            return marked_ms > NEVER_MS
        return now_ms < marked_ms + DEAD_MARK_TTL_MS
