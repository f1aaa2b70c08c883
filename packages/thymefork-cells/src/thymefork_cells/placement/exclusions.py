"""Tell why a step can't use a worker now."""

from collections import Counter
from enum import StrEnum

from attrs import field, frozen

__all__ = ["DECIDED_HERE", "Exclusion", "Exclusions", "worker_exclusion"]


class Exclusion(StrEnum):
    """Reason for which a step can't use a worker now."""

    LABEL = "label"  # it lacks the label that the step requires
    NO_TICKET = "no_ticket"  # the policy denies it, or was not asked yet
    TOO_SMALL = "too_small"
    UNREPORTED = "unreported"  # it has not reported its runs to this owner yet
    UNLISTED = "unlisted"
    LEAVING = "leaving"
    ENTRY_LAPSED = "entry_lapsed"
    SUSPECT = "suspect"  # it, or its hall, does not answer
    NO_ROOM = "no_room"
    ANTI_AFFINITY = "anti_affinity"
    SLOW = "slow"  # paused, as a run there made no progress
    PAUSED = "paused"  # paused, as runs fail there
    PROBE_RUNS = "probe_runs"  # on probation, and its probe has no verdict yet
    ISOLATED = "isolated"  # kept for a job that may crash workers
    RESERVED = "reserved"
    AVOIDED = "avoided"  # by each task that waits


# Exclusions by a decision of this owner, of workers that have room and are allowed.
DECIDED_HERE = frozenset(
    {
        Exclusion.SLOW,
        Exclusion.PAUSED,
        Exclusion.PROBE_RUNS,
        Exclusion.ISOLATED,
        Exclusion.RESERVED,
        Exclusion.AVOIDED,
    }
)


def worker_exclusion(worker, now_ms):
    """Return why a worker accepts no task at all now, or None."""
    if not worker.has_reported:
        return Exclusion.UNREPORTED
    if not worker.is_listed:
        return Exclusion.UNLISTED
    if worker.entry.draining:
        return Exclusion.LEAVING
    if worker.entry.is_lapsed or worker.entry.cpu_milli <= 0:
        return Exclusion.ENTRY_LAPSED
    if worker.is_suspect:
        return Exclusion.SUSPECT
    if worker.slow_pause_until_ms > now_ms:
        return Exclusion.SLOW
    if worker.health.paused_until_ms > now_ms:
        return Exclusion.PAUSED
    return Exclusion.PROBE_RUNS if worker.health.awaits_probe else None


@frozen(kw_only=True)
class Exclusions:
    """Tell why the workers of its service don't run a waiting step."""

    _context = field()
    _advice = field()
    _reservations = field()

    def count(self, step, now_ms):
        """Return the number of the service's workers by why the step can't use them."""
        with_ticket = {
            worker.worker_id
            for worker in self._advice.with_ticket(step, self._context.workers, now_ms)
        }
        runs_per_worker = step.runs_per_worker() if step.spec.most_per_worker else {}
        service = self._context.service_of(step.job)
        return Counter(
            self._of_step(step, worker, with_ticket, runs_per_worker, now_ms)
            for worker in self._context.workers.values()
            if worker.entry.service == service
        )

    def _of_step(self, step, worker, with_ticket, runs_per_worker, now_ms):
        """Return why a step can't use a worker, None if it can."""
        spec, worker_id = step.spec, worker.worker_id
        if spec.required_label and spec.required_label not in worker.entry.labels:
            return Exclusion.LABEL
        exclusion = worker_exclusion(worker, now_ms)
        if exclusion is not None and exclusion not in DECIDED_HERE:
            return exclusion  # no ticket is asked for
        if worker_id not in with_ticket:
            return Exclusion.NO_TICKET
        if not worker.fits_when_empty(spec):
            return Exclusion.TOO_SMALL
        if not worker.has_capacity(spec):
            return Exclusion.NO_ROOM
        if runs_per_worker.get(worker_id, 0) >= spec.most_per_worker > 0:
            return Exclusion.ANTI_AFFINITY
        if exclusion is not None:
            return exclusion
        if not worker.admits(step.job, now_ms):
            return Exclusion.ISOLATED
        if not self._reservations.permits(step, worker, now_ms):
            return Exclusion.RESERVED
        if all(worker_id in task.avoided_workers for task in step.waiting):
            return Exclusion.AVOIDED
        return None
