"""Stop gangs that can't start because a member is missing."""

from ..state import RunState

__all__ = ["GangMonitor"]

# Allows for one repeated stop command, each of which takes up to 0.3 s.
STOP_ALLOWANCE_MS = 500.0
# Minimum fraction of `gang_wait_ms` for which a gang may wait to be confirmed.
MIN_WAIT_FRACTION = 0.25


class GangMonitor:
    """Stop the remaining members of a gang that can't start in time.

    Members hold their resources until all are present, and a missing member is started
    again only once none of the others runs.
    """

    def __init__(self, *, context, lifecycle):
        self._context = context
        self._lifecycle = lifecycle
        self._checked_ms = 0.0
        self._check_interval_ms = 0.0

    def check(self, now_ms):
        """Check all gangs."""
        # The next check of a busy owner is likely to come as late as this one.
        self._check_interval_ms = now_ms - self._checked_ms if self._checked_ms else 0.0
        self._checked_ms = now_ms
        for job in list(self._context.live_jobs.values()):
            for step in job.steps:
                if step.spec.gang and not step.is_done:
                    self._check_step(step, now_ms)

    def _check_step(self, step, now_ms):
        run_ids = {run.run_id for task in step.tasks for run in task.runs}
        for run_id in sorted(run_ids):
            members = step.members(run_id)
            sent = [run for run in members if run.was_sent]
            waiting = [run for run in sent if run.state is not RunState.STOPPING]
            if not waiting:
                continue
            cause = self._stop_cause(step, members, sent, now_ms)
            if cause:
                self._stop(step, run_id, members, waiting, cause, now_ms)

    def _stop_cause(self, step, members, sent, now_ms):
        """Return why a gang has to be stopped, or an empty string.

        A gang that has started work is left alone: it ends with its first member.
        """
        if any(run.percent > 0 for run in members):
            return ""
        if len(members) < len(step.tasks):
            return "member_gone"
        if any(run.state is RunState.STOPPING for run in members):
            return "member_stopped"
        if step.is_gang_complete(members[0].run_id):
            return ""
        if now_ms - self._earliest_start_ms(sent, now_ms) > self._max_wait_ms:
            return "unconfirmed"
        return ""

    @staticmethod
    def _earliest_start_ms(sent, now_ms):
        """Return the earliest time at which a member may have started to wait."""
        return min((run.began_ms for run in sent if run.began_ms), default=now_ms)

    @property
    def _max_wait_ms(self):
        """Return how long members may wait before a stop has to be sent."""
        bounds = self._context.bounds
        left_ms = bounds.gang_wait_ms - bounds.stop_timeout_ms
        left_ms -= STOP_ALLOWANCE_MS + self._check_interval_ms
        return max(left_ms, MIN_WAIT_FRACTION * bounds.gang_wait_ms)

    def _stop(self, step, run_id, members, waiting, cause, now_ms):
        began_ms = self._earliest_start_ms(waiting, now_ms)
        self._context.count("gangs_stopped", cause)
        self._context.note(
            "gang_stopped",
            step=step.name,
            run=run_id,
            cause=cause,
            count=len(step.tasks),
            members=len(members),
            live=sum(run.is_live for run in members),
            waited_ms=round(now_ms - began_ms),
            patience_ms=round(self._max_wait_ms),
        )
        for run in waiting:
            reason = "a member of its gang is missing"
            self._lifecycle.stop(run, reason, now_ms=now_ms)
