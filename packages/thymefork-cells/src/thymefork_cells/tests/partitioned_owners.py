"""Owners that go on without the store, beside their successors."""

from attrs import evolve, frozen

from thymefork_cells import effects as fx
from thymefork_cells.workers.quorum import OUTAGE_GRACE_MS

__all__ = ["PartitionedOwners"]


@frozen(kw_only=True)
class _Partition:
    """Hold until when an owner is a member, and whether it notices newer fences."""

    member_until_ms: float
    notices_fences: bool


class PartitionedOwners:
    """Limit former owners to what they may do without the store.

    They can neither store anything nor tell anybody of it. `out_of_reach` maps the
    epochs of owners to the ids of the workers that they can't reach.
    """

    def __init__(self, *, harness):
        self._harness = harness
        self._partitions = {}  # by cell
        self.out_of_reach = {}

    def __contains__(self, cell):
        return cell in self._partitions

    def add(self, *, member_until_ms, notices_fences=True):
        """Cut the present owner off from the store for good; it goes on."""
        cell = self._harness.cell
        cell.context.is_store_unavailable = True
        self._partitions[cell] = _Partition(
            member_until_ms=member_until_ms, notices_fences=notices_fences
        )
        self._harness.is_owner_down = True

    def end(self, cell):
        """End a partitioned owner."""
        self._partitions.pop(cell, None)

    def on_fenced(self, cell):
        """End a partitioned owner whose command met a newer fence, if it notices."""
        if cell in self._partitions and self._partitions[cell].notices_fences:
            self.end(cell)

    def reaches(self, cell, worker):
        """Return whether an owner reaches a worker."""
        if worker.is_unreachable:
            return False
        out_of_reach = self.out_of_reach.get(cell.context.epoch, ())
        return worker.worker_id not in out_of_reach

    def limit(self, cell, effect):
        """Return what an owner may do of an effect, None if nothing."""
        partition = self._partitions.get(cell)
        if partition is None or isinstance(effect, fx.Note | fx.Count):
            return effect
        now_ms = self._harness.now
        is_member = now_ms < partition.member_until_ms
        is_possible = now_ms < partition.member_until_ms + OUTAGE_GRACE_MS
        may_renew = is_member or (is_possible and cell.quorum.is_held(now_ms))
        if isinstance(effect, fx.PollWorker):
            return effect if may_renew else evolve(effect, lease_ms=0.0)
        if isinstance(effect, fx.StopRun):
            return effect if may_renew else None
        if isinstance(effect, fx.StartRun | fx.PaceRun):
            return effect if is_member else None
        return None
