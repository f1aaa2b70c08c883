"""Partitions, fences and groups of the simulated store."""

from attrs import define, field

__all__ = ["Group", "Member", "Partition"]

# A repeated append with one of the last sequence numbers is answered as the first.
REMEMBERED_SEQUENCES = 5


@define(kw_only=True)
class Partition:
    """Hold a partition's records, the newest value of each key, and writer fences."""

    records: list = field(factory=list)
    newest: dict = field(factory=dict)
    epochs: dict = field(factory=dict)
    sequences: dict = field(factory=dict)
    waiters: list = field(factory=list)

    def append(self, records, writer, epoch, sequence):
        """Append records; return None, or the reason for a refusal."""
        if writer:
            known = self.epochs.get(writer, -1)
            if epoch < known:
                return {"reason": "fenced"}
            if epoch > known:
                self.epochs[writer] = epoch
                self.sequences[writer] = sequence
            elif not records:
                return None
            elif 0 <= self.sequences[writer] - sequence < REMEMBERED_SEQUENCES:
                return None  # a repeat
            elif sequence != self.sequences[writer] + 1:
                return {"reason": "seq", "seq": self.sequences[writer] + 1}
            if records:
                self.sequences[writer] = sequence
        for key, value in records:
            self.put(key, value)
        return None

    def put(self, key, value):
        """Add one record."""
        self.records.append((key, value))
        if value:
            self.newest[key] = (value, len(self.records) - 1)
        else:
            self.newest.pop(key, None)


@define(kw_only=True)
class Member:
    """Hold a group member, whose membership expires at `until_ms`."""

    member_id: str
    until_ms: float
    generation: int


@define(kw_only=True)
class Group:
    """Assign partitions to members; each change increments the generation."""

    partition_count: int
    generation: int = 0
    members: dict = field(factory=dict)
    owners: dict = field(factory=dict)

    def join(self, member_id, ttl_ms, generation, now_ms):
        """Add a member or renew its membership; return its partitions."""
        self.expire(now_ms)
        member = self.members.get(member_id)
        if member is None:
            self.generation += 1
            member = Member(member_id=member_id, until_ms=0.0, generation=0)
            self.members[member_id] = member
        member.until_ms = now_ms + ttl_ms
        member.generation = max(generation, member.generation)
        self._assign()
        return [
            partition for partition, owner in self.owners.items() if owner == member_id
        ]

    def leave(self, member_id):
        """Remove a member."""
        if self.members.pop(member_id, None) is not None:
            self.generation += 1
            self._assign()

    def expire(self, now_ms):
        """Remove members whose membership has expired."""
        for member in list(self.members.values()):
            if member.until_ms < now_ms:
                self.leave(member.member_id)

    def _assign(self):
        """Reassign a partition once its owner has left or knows the generation.

        As on the platform, the newest member gets the first block, and a reassignment
        increments the generation.
        """
        names = list(reversed(self.members))
        is_changed = False
        for partition in range(self.partition_count):
            assignee = (
                names[partition * len(names) // self.partition_count] if names else ""
            )
            owner = self.owners.get(partition, "")
            if owner == assignee:
                continue
            member = self.members.get(owner)
            if member is None or member.generation >= self.generation:
                self.owners[partition] = assignee
                is_changed = True
        self.generation += is_changed
