"""Report what became of the runs that a new owner found in the store."""

from enum import StrEnum

from attrs import define

from ..state import RunState

__all__ = ["LossKind", "TakeoverReport"]

# Without an outcome of all runs, the report is written this long after the takeover:
# the longest wait for inherited leases, 12.1 s, with some time to spare.
REPORT_TIMEOUT_MS = 15_000.0


class LossKind(StrEnum):
    """How a new owner learned that an inherited run is lost."""

    LIFE_OVER = "life_over"  # another incarnation is on the worker's machine
    LEASE_OVER_LEAVING = "lease_over_leaving"  # the worker was known to leave
    LEASE_OVER = "lease_over"


@define(kw_only=True)
class _Losses:
    """Count the runs that were lost in one way, and when the last one was."""

    runs: int = 0
    last_ms: float = 0.0


class TakeoverReport:
    """Write one log line with the outcome of all runs that an owner has inherited."""

    def __init__(self, *, context, inherited_leases):
        self._context = context
        self._inherited_leases = inherited_leases
        self._runs = []
        self._losses = {kind: _Losses() for kind in LossKind}
        self._heard_ends = 0
        self._is_written = True

    def begin(self):
        """Record the runs that were loaded from the store."""
        self._runs = [
            run
            for job in self._context.live_jobs.values()
            for run in job.runs
            if run.state is RunState.RECOVERED
        ]
        self._is_written = not self._runs

    def on_end_inherited(self):
        """Count a run whose end a previous owner had received."""
        self._heard_ends += 1

    def on_lost(self, worker, runs, *, is_certain, now_ms):
        """Count the inherited runs among those of a lost worker."""
        if self._is_written:
            return
        lost = sum(run.state is RunState.RECOVERED for run in runs)
        if lost:
            losses = self._losses[_loss_kind(worker, is_certain)]
            losses.runs += lost
            losses.last_ms = now_ms

    def review(self, now_ms):
        """Write the line once each run has an outcome, or after a timeout."""
        if self._is_written:
            return
        unknown = [run for run in self._runs if run.state is RunState.RECOVERED]
        timeout_ms = self._context.taken_over_ms + REPORT_TIMEOUT_MS
        if unknown and now_ms < timeout_ms:
            return
        self._write(len(unknown))

    def _write(self, unknown_count):
        fields = {}
        for kind, losses in self._losses.items():
            fields[str(kind)] = losses.runs
            if losses.runs:
                after_ms = losses.last_ms - self._context.taken_over_ms
                fields[f"last_{kind}_after_ms"] = round(after_ms)
        self._context.note(
            "takeover_settled",
            runs=len(self._runs),
            ends_inherited=self._heard_ends,
            unknown=unknown_count,
            quorum_after_ms=self._inherited_leases.quorum_after_ms,
            announced_leaving=self._inherited_leases.leaving_count,
            owner_end_known=self._inherited_leases.is_end_known,
            **fields,
        )
        self._is_written = True
        self._runs = []


def _loss_kind(worker, is_certain):
    if is_certain:
        return LossKind.LIFE_OVER
    return LossKind.LEASE_OVER_LEAVING if worker.is_leaving else LossKind.LEASE_OVER
