"""Directory of the cells' owners."""

from loguru import logger

from thymefork_net import steady_ms

from .dead_members import DeadMembers
from .membership import CELLS_TOPIC, GROUP, address_of_member, is_member_id

__all__ = ["OwnerDirectory"]

# Minimum time between two reads of the group.
READ_PERIOD_MS = 200.0
# Covers a slow answer and the wait for the next read. An older count dates from before
# a pause of this process or an outage of the store.
COUNT_MAX_AGE_MS = 1_500.0


class OwnerDirectory:
    """Track the owners' addresses; read the store only while an owner is missing.

    `member_count` is the number of members at the last read, None before the first.
    """

    def __init__(self, *, store, timers, own_id, partition_of, on_change, on_removed):
        self._partition_of = partition_of
        self._dead_members = DeadMembers(own_id=own_id)
        self._store = store
        self._timers = timers
        self._on_change = on_change
        self._on_member_removed = on_removed
        self._owners = {}
        self._epochs = {}
        self._reported_by = {}
        self._members = {}
        self._is_reading = False
        self._read_timer = 0
        self._read_sent_ms = 0.0
        self._count_sent_ms = float("-inf")
        self.member_count = None

    def owner_of(self, cell):
        """Return the address of a cell's owner, None if unknown."""
        return self._owners.get(self._partition_of(cell))

    def epoch_of(self, cell):
        """Return the epoch that a cell's owner has reported, None if unknown."""
        partition = self._partition_of(cell)
        if self._reported_by.get(partition) != self._owners.get(partition):
            return None  # the owner was read from the store and reported no epoch yet
        return self._epochs.get(partition)

    def forget(self, cell, address):
        """Drop an owner that did not answer, and look for the next one."""
        partition = self._partition_of(cell)
        if self._owners.get(partition) == address:
            del self._owners[partition]
        self.refresh()

    def record_owner(self, cell, address, epoch):
        """Record what an owner reports; return False if a later owner is known."""
        partition = self._partition_of(cell)
        if epoch < self._epochs.get(partition, -1):
            return False
        self._epochs[partition] = epoch
        self._reported_by[partition] = address
        if self._owners.get(partition) != address:
            self._owners[partition] = address
            self._on_change()
        return True

    @property
    def members(self):
        """Return the addresses of the members at the last read."""
        return {address_of_member(member) for member in self._members.values()}

    @property
    def is_count_fresh(self):
        """Return whether the member count is recent."""
        return steady_ms() - self._count_sent_ms < COUNT_MAX_AGE_MS

    def refresh(self):
        """Read the group's members, at most once a period."""
        if self._is_reading:
            return
        self._is_reading = True
        wait_ms = max(1.0, self._read_sent_ms + READ_PERIOD_MS - steady_ms())
        self._read_timer = self._timers.after(wait_ms, self._read_owners)

    def _read_owners(self):
        self._read_sent_ms = steady_ms()
        sent_ms = self._read_sent_ms
        self._store.owners(
            group=GROUP, on_result=lambda rows: self._on_owners(rows, sent_ms)
        )

    def _on_owners(self, rows, sent_ms):
        self._is_reading = False
        rows = rows and [row for row in rows if is_member_id(row.member_id)]
        self._members = {}
        if rows is not None:
            self._count_sent_ms = max(self._count_sent_ms, sent_ms)
            self.member_count = len({row.member_id for row in rows})
        for row in rows or ():
            if row.topic == CELLS_TOPIC:
                self._members[row.partition] = row.member_id
                self._owners[row.partition] = address_of_member(row.member_id)
        if rows is not None:
            self._dead_members.on_members_read()
        elif self._dead_members.needs_reading(steady_ms()):
            self.refresh()
        self._remove_dead()
        self._on_change()

    def remove_dead(self, address):
        """Remove a member whose process is gone from the group.

        Its cells are then reassigned at once instead of after its membership lapses.
        If it is alive after all, fencing keeps it from writing.
        """
        self._dead_members.mark_dead(address, now_ms=steady_ms())
        self._timers.cancel(self._read_timer)  # this read replaces the scheduled one
        self._is_reading = True
        self._read_owners()

    def _remove_dead(self):
        """Remove the members that were just read and are marked dead."""
        for member_id in set(self._members.values()):
            if self._dead_members.should_remove(member_id, steady_ms()):
                self._request_removal(member_id)

    def _request_removal(self, member_id):
        """Ask the store to remove a member, and check afterwards that it is gone.

        The check is scheduled first, because the call may stay unanswered.
        """
        self._dead_members.record_leave_sent(member_id, now_ms=steady_ms())
        line = logger.bind(event="member_removed", member=member_id)
        line.info("removing a member that is gone or cannot own cells")
        self.refresh()
        self._store.leave(
            group=GROUP,
            member_id=member_id,
            on_done=lambda answer: self._on_left(member_id, answer),
        )

    def _on_left(self, member_id, answer):
        if answer is not None and answer.status == 200:
            self._dead_members.record_leave_done(member_id, now_ms=steady_ms())
        else:
            reason = f"{answer.status} {answer.error}" if answer else "no answer"
            line = logger.bind(event="member_not_removed", member=member_id)
            line.info("member not removed: {}", reason)
        self._on_member_removed()
        self.refresh()
