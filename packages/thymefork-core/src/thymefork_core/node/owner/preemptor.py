"""Making room for urgent work: throttle, checkpoint or stop, in that order."""

from attrs import evolve

from thymefork_core.batch import TaskKey
from thymefork_core.model import Resources, WorkKind
from thymefork_core.reasons import Retry

from ..effects import SendThrottle

__all__ = ["Preemptor"]

AGAIN_MS = 1500
THROTTLED_SHARE = 2


class Preemptor:
    """Choose victims on one worker; never work that must not be repeated."""

    def __init__(self, *, context, attempts):
        self.ctx = context
        self._attempts = attempts
        self._not_before_mono_ms = 0
        self._throttled = set()

    def make_room(self, need):
        """Free room for a need on the worker where it costs least."""
        ctx = self.ctx
        if ctx.now.mono_ms < self._not_before_mono_ms:
            return
        plans = [
            plan
            for view in ctx.book.views.values()
            if view.open_for_work and need.fits(view.total)
            if (plan := self._plan(view, need)) is not None
        ]
        if not plans:
            return
        self._not_before_mono_ms = ctx.now.mono_ms + AGAIN_MS
        throttles, view, victims = min(plans, key=lambda p: (not p[0], len(p[2])))
        ctx.count(Retry.PREEMPTED)
        if throttles:
            self._throttle(view, victims)
        else:
            for attempt in victims:
                self._attempts.stop(attempt, preempt=True)

    def _plan(self, view, need):
        """Return whether to throttle, the worker and its victims, or None."""
        candidates = self._candidates(view)
        for throttles, gain in ((True, _throttled_gain), (False, _stopped_gain)):
            free, victims = view.free, []
            for attempt in candidates:
                if need.fits(free):
                    break
                if throttles and attempt.attempt_id in self._throttled:
                    continue
                held = view.taken[TaskKey(attempt.work_id, attempt.task)]
                free = free + gain(held)
                victims.append(attempt)
            if victims and need.fits(free):
                return throttles, view, victims
        return None

    def _candidates(self, view):
        """Return repeatable attempts that are not urgent, services last."""
        found = []
        for attempt in self.ctx.ledger.open_attempts(view.name):
            work = self.ctx.accepted.get(attempt.work_id)
            key = TaskKey(attempt.work_id, attempt.task)
            if work is None or work.spec.urgent or attempt.at_most_once:
                continue
            if key in view.taken and work.spec.kind is not WorkKind.JOB:
                is_service = work.spec.kind is WorkKind.SERVICE
                found.append((is_service, -work.offset, attempt))
        found.sort(key=lambda item: item[:2])
        return [attempt for _, _, attempt in found]

    def _throttle(self, view, victims):
        for attempt in victims:
            self._throttled.add(attempt.attempt_id)
            held = view.taken[TaskKey(attempt.work_id, attempt.task)]
            self.ctx.emit(
                SendThrottle(
                    worker=view.name,
                    epoch=view.epoch,
                    attempt_id=attempt.attempt_id,
                    cpu_milli=held.cpu_milli // THROTTLED_SHARE,
                )
            )

    def on_throttled(self, message):
        """Count a throttled attempt's processors as free once confirmed."""
        attempt = self._attempts.find(message.attempt_id)
        if attempt is None or not message.done:
            return
        key = TaskKey(attempt.work_id, attempt.task)
        view = self.ctx.book.get(message.worker)
        held = view.taken.get(key) if view else None
        if held is not None:
            slower = evolve(held, cpu_milli=message.cpu_milli)
            self.ctx.book.give_back(message.worker, key)
            self.ctx.book.take(message.worker, key, slower)


def _throttled_gain(held):
    return Resources(cpu_milli=held.cpu_milli - held.cpu_milli // THROTTLED_SHARE)


def _stopped_gain(held):
    return held
