"""Gangs of which a member is missing: what is left of them is stopped in time."""

from ..state import RunState

__all__ = ["GangMonitor"]

# A stop may have to be sent twice to be answered, each time for up to 0.3 s.
ORDER_MS = 500.0
# A gang has this share of its wait at least to be confirmed, however long a stop takes.
LEAST_SHARE = 0.25


class GangMonitor:
    """Stop what is left of a gang that can't begin, or could not for too long.

    Its members hold their room until all are present. One whose start was refused,
    was lost or has come late is started again only once none of the others runs.
    """

    def __init__(self, *, context, lifecycle):
        self._context = context
        self._lifecycle = lifecycle
        self._checked_ms = 0.0
        self._gap_ms = 0.0

    def check(self, now_ms):
        """Look over all gangs."""
        # An owner with much to do takes its turns late, and the next one as late.
        self._gap_ms = now_ms - self._checked_ms if self._checked_ms else 0.0
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
            cause = self._cause(step, members, sent, now_ms)
            if cause:
                self._stop(step, run_id, members, waiting, cause, now_ms)

    def _cause(self, step, members, sent, now_ms):
        """Return why a gang is stopped, "" if it may go on.

        Of one that has begun, the others end with the first member that does.
        """
        if any(run.percent > 0 for run in members):
            return ""
        if len(members) < len(step.tasks):
            return "member_gone"
        if any(run.state is RunState.STOPPING for run in members):
            return "member_stopped"
        if step.is_gang_complete(members[0].run_id):
            return ""
        if now_ms - self._first_began_ms(sent, now_ms) > self._patience_ms:
            return "unconfirmed"
        return ""

    @staticmethod
    def _first_began_ms(sent, now_ms):
        """Return when a member may have begun to wait at the earliest."""
        return min((run.began_ms for run in sent if run.began_ms), default=now_ms)

    @property
    def _patience_ms(self):
        """Return for how long members may wait before a stop has to be sent."""
        bounds = self._context.bounds
        left_ms = bounds.gang_wait_ms - bounds.stop_timeout_ms
        left_ms -= ORDER_MS + self._gap_ms
        return max(left_ms, LEAST_SHARE * bounds.gang_wait_ms)

    def _stop(self, step, run_id, members, waiting, cause, now_ms):
        began_ms = self._first_began_ms(waiting, now_ms)
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
            patience_ms=round(self._patience_ms),
        )
        for run in waiting:
            reason = "a member of its gang is missing"
            self._lifecycle.stop(run, reason, now_ms=now_ms)
