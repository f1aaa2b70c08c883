"""Owners that go on without the store, beside their successors."""

from attrs import evolve, frozen

from thymefork_cells import effects as fx
from thymefork_cells.workers.quorum import OUTAGE_GRACE_MS

__all__ = ["PartitionedOwners"]


@frozen(kw_only=True)
class _Partition:
    """Hold until when an owner is a member, and what still passes.

    It `notices_fences` of newer owners if their refusals reach it. It `tells` the
    members what it promises if these reach each other.
    """

    member_until_ms: float
    notices_fences: bool
    tells: bool


class PartitionedOwners:
    """Limit former owners to what they may do without the store.

    They can't store anything. `out_of_reach` maps the epochs of owners to the ids of
    the workers that they can't reach.
    """

    def __init__(self, *, harness):
        self._harness = harness
        self._partitions = {}  # by cell
        self.out_of_reach = {}

    def __contains__(self, cell):
        return cell in self._partitions

    def add(self, *, member_until_ms, notices_fences=True, tells=True):
        """Cut the present owner off from the store for good; it goes on."""
        cell = self._harness.cell
        cell.context.is_store_unavailable = True
        self._partitions[cell] = _Partition(
            member_until_ms=member_until_ms, notices_fences=notices_fences, tells=tells
        )
        self._harness.is_owner_down = True

    def stop(self, cell):
        """End a partitioned owner, if there still is one; it tells so if it can."""
        partition = self._partitions.pop(cell, None)
        if partition is not None and partition.tells:
            notice = cell.leaving_workers.end_notice(self._harness.now)
            self._harness.lease_notices.append(notice)
            self._tell_successor(fx.AnnounceLeases(notice=notice))

    def _tell_successor(self, effect):
        """Pass what a former owner announces to a present one."""
        harness = self._harness
        if harness.is_owner_down:
            return
        if isinstance(effect, fx.AnnounceLeases):
            harness.cell.inherited_leases.apply(effect.notice)
        else:
            harness.cell.inherited_ends.apply(effect.ends, now_ms=harness.now)

    def on_fenced(self, cell):
        """End a partitioned owner whose command met a newer fence, if it notices."""
        if cell in self._partitions and self._partitions[cell].notices_fences:
            self.stop(cell)

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
        if isinstance(effect, fx.AnnounceEnds | fx.AnnounceLeases):
            if not partition.tells:
                return None
            self._tell_successor(effect)
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
