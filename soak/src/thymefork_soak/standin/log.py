"""The records, fences and groups of the stand-in store."""

from attrs import define, field

__all__ = ["Group", "Member", "Partition"]

# The platform gives one of the last five numbers its first answer again.
REMEMBERED_SEQUENCES = 5


@define(kw_only=True)
class Partition:
    """Hold a partition's records, its newest by key, and its writers' fences."""

    records: list = field(factory=list)
    newest: dict = field(factory=dict)
    epochs: dict = field(factory=dict)
    sequences: dict = field(factory=dict)
    waiters: list = field(factory=list)

    def append(self, records, writer, epoch, sequence):
        """Return None, or why the append is refused."""
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
                return None  # it has been done already
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
    """Follow a member of a group; `until_ms` is when it lapses."""

    member_id: str
    until_ms: float
    generation: int


@define(kw_only=True)
class Group:
    """Deal partitions to members, with a generation for each change."""

    parts: int
    generation: int = 0
    members: dict = field(factory=dict)
    owners: dict = field(factory=dict)

    def join(self, member_id, ttl_ms, generation, now_ms):
        """Let a member in, or renew it; return its partitions."""
        self.expire(now_ms)
        member = self.members.get(member_id)
        if member is None:
            self.generation += 1
            member = Member(member_id=member_id, until_ms=0.0, generation=0)
            self.members[member_id] = member
        member.until_ms = now_ms + ttl_ms
        member.generation = max(generation, member.generation)
        self._assign()
        return [part for part, owner in self.owners.items() if owner == member_id]

    def leave(self, member_id):
        """Take a member out."""
        if self.members.pop(member_id, None) is not None:
            self.generation += 1
            self._assign()

    def expire(self, now_ms):
        """Take out the members that have lapsed."""
        for member in list(self.members.values()):
            if member.until_ms < now_ms:
                self.leave(member.member_id)

    def _assign(self):
        """Pass a partition on once its holder is gone or knows the generation.

        As on the platform, the newest member is dealt the first block, and passing a
        partition on is a change that raises the generation.
        """
        names = list(reversed(self.members))
        is_changed = False
        for part in range(self.parts):
            wanted = names[part * len(names) // self.parts] if names else ""
            holder = self.owners.get(part, "")
            if holder == wanted:
                continue
            old = self.members.get(holder)
            if old is None or old.generation >= self.generation:
                self.owners[part] = wanted
                is_changed = True
        self.generation += is_changed
