"""Commands to workers and polls, each checked right before it is sent."""

from functools import singledispatchmethod

from thymefork_cells import Refusal, effects as fx
from thymefork_cells.workers import lease_ms_for
from thymefork_net import steady_ms

__all__ = ["CommandSender"]


class CommandSender:
    """Send a cell's commands and polls to workers, and return the answers to it."""

    def __init__(self, *, owner, client):
        self._owner = owner
        self._client = client

    @property
    def _cell(self):
        return self._owner.cell

    @singledispatchmethod
    def send(self, effect):
        """Send a command or a poll."""
        raise TypeError(f"no handler for command {type(effect).__name__}")

    @send.register
    def _start(self, effect: fx.StartRun):
        run, now_ms = effect.run, steady_ms()
        if not self._cell.commands.may_start(run, now_ms):
            return
        worker, step = run.worker, run.task.step
        lease_ms = lease_ms_for(worker)
        self._cell.poller.record_lease(worker, lease_ms, now_ms=now_ms)
        self._client.start(
            run=run,
            payload=step.job.spec.payload,
            fence=worker.fence(self._owner.epoch),
            deadline_clock_ms=worker.clock_ms(now_ms) + lease_ms,
            ticket=step.ticket_for(worker.worker_id, now_ms) or "",
            wanted=lambda: run.may_continue and self._owner.may_start_runs(),
            done=lambda answer: self._on_start(run, worker, answer, now_ms),
        )

    def _on_start(self, run, worker, answer, sent_ms):
        if not self._still_owned(answer.refusal, worker):
            return
        now_ms = steady_ms()
        self._owner.metrics.observe("start", now_ms - sent_ms)
        self._cell.on_start_answer(run, answer, now_ms=now_ms)
        self._owner.apply_effects()

    def _still_owned(self, refusal, worker):
        """Return whether the cell is still owned here after a worker's answer.

        A command to an ended incarnation may meet the fence that this owner has set for
        the next one.
        """
        if not self._owner.may_poll():
            return False
        if refusal is Refusal.FENCED and not worker.is_over:
            self._owner.drop_ownership("a worker has a fence of a newer owner")
            return False
        return True

    @send.register
    def _stop(self, effect: fx.StopRun):
        run, worker = effect.run, effect.run.worker
        task_name, run_id = run.key
        self._client.stop(
            worker=worker,
            task_name=task_name,
            run_id=run_id,
            fence=worker.fence(self._owner.epoch),
            is_limited=isinstance(run, fx.OrphanedRun),
            wanted=self._owner.may_renew_leases,
            done=lambda answer: self._on_stop(run, worker, answer),
        )

    def _on_stop(self, run, worker, answer):
        if isinstance(run, fx.OrphanedRun) or not self._still_owned(
            answer.refusal, worker
        ):
            return
        self._cell.on_stop_answer(run, answer, now_ms=steady_ms())
        self._owner.apply_effects()

    @send.register
    def _pace(self, effect: fx.PaceRun):
        worker = effect.run.worker
        self._client.pace(
            run=effect.run,
            percent=effect.percent,
            fence=worker.fence(self._owner.epoch),
            wanted=self._owner.may_start_runs,
            done=lambda answer: self._on_pace(effect, worker, answer),
        )

    def _on_pace(self, effect, worker, answer):
        if not self._still_owned(answer.refusal, worker):
            return
        now_ms = steady_ms()
        self._cell.on_pace_answer(effect.run, effect.percent, answer, now_ms=now_ms)
        self._owner.apply_effects()

    @send.register
    def _poll(self, effect: fx.PollWorker):
        worker, now_ms = effect.worker, steady_ms()
        deadline_ms = 0.0
        if effect.lease_ms and self._owner.may_renew_leases():
            # Short leases may have been promised since the poll was decided.
            lease_ms = min(effect.lease_ms, lease_ms_for(worker))
            deadline_ms = worker.clock_ms(now_ms) + lease_ms
            self._cell.poller.record_lease(worker, lease_ms, now_ms=now_ms)
        self._client.poll(
            worker=worker,
            wait_ms=effect.wait_ms,
            deadline_clock_ms=deadline_ms,
            last_end=effect.last_end,
            fence=worker.fence(self._owner.epoch),
            wanted=self._owner.may_renew_leases
            if deadline_ms
            else self._owner.may_poll,
            done=lambda result: self._on_poll(worker, effect, result),
        )

    def _on_poll(self, worker, effect, result):
        if not self._still_owned(result.refusal, worker):
            return
        now_ms = steady_ms()
        if result.report is not None:
            self._cell.on_report(
                worker,
                result.report,
                result.last_end,
                quick=effect.quick,
                now_ms=now_ms,
            )
        elif result.refusal is Refusal.OTHER_LIFE:
            self._cell.on_other_incarnation(worker, now_ms=now_ms)
        else:
            self._cell.poller.on_poll_unanswered(
                worker, quick=effect.quick, now_ms=now_ms
            )
        self._owner.apply_effects()
