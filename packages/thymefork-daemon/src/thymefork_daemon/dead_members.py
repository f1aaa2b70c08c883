"""Which members are to be taken out of the group, and when once more."""

from attrs import define

from .membership import address_of_member

__all__ = ["DeadMembers"]

# A refused connection tells of the member that is listed then, not of a later life; no
# process is back within this time.
DEAD_MS = 250.0
# The store answers a leave in 5 to 10 ms; a member that is still listed this much later
# is taken out again. So one member costs seven leaves a second at most, for the second
# or so after which its membership lapses by itself.
LEAVE_RETRY_MS = 150.0
NEVER_MS = float("-inf")


@define(kw_only=True)
class _Leave:
    """Hold when a member was last taken out, and when that was last answered."""

    sent_ms: float
    done_ms: float = NEVER_MS


class DeadMembers:
    """Keep who was told dead, and what became of taking each one out.

    That an address is dead holds for a moment, and until a member there is out. Lives
    of this instance before the present one are over for good.
    """

    def __init__(self, *, own_id):
        self._own_id = own_id
        self._own_address = address_of_member(own_id)
        self._marked_ms = {}
        self._unread = set()
        self._leaves = {}

    def mark_dead(self, address, *, now_ms):
        """Take an address for dead."""
        self._marked_ms[address] = now_ms
        self._unread.add(address)

    def on_members_read(self):
        """Take note that the members listed at the addresses told dead were read."""
        self._unread.clear()

    def needs_reading(self, now_ms):
        """Tell whether an address is dead whose members were not read since."""
        return any(self._is_dead(address, now_ms) for address in self._unread)

    def should_remove(self, member_id, now_ms):
        """Tell whether a member that is listed is to be taken out now."""
        address = address_of_member(member_id)
        if member_id == self._own_id or not self._is_dead(address, now_ms):
            return False
        leave = self._leaves.get(member_id)
        if leave is None:
            return True
        if now_ms < leave.sent_ms + LEAVE_RETRY_MS:
            return False
        # A member that is listed though it was taken out has joined anew.
        was_out = leave.done_ms >= self._marked_ms[address]
        return address == self._own_address or not was_out

    def record_leave_sent(self, member_id, *, now_ms):
        """Take note that the store was asked to take a member out."""
        leave = self._leaves.setdefault(member_id, _Leave(sent_ms=now_ms))
        leave.sent_ms = now_ms

    def record_leave_done(self, member_id, *, now_ms):
        """Take note that a member is out."""
        self._leaves[member_id].done_ms = now_ms

    def _is_dead(self, address, now_ms):
        told_ms = self._marked_ms.get(address, NEVER_MS)
        if address == self._own_address:
            return told_ms > NEVER_MS
        return now_ms < told_ms + DEAD_MS
