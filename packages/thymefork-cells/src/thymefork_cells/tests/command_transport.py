"""Delivery of commands and polls to virtual workers, with injected faults."""

from collections import Counter

from thymefork_cells import CommandAnswer, Refusal, effects as fx
from thymefork_cells.workers.lease_duration import lease_ms_for

__all__ = ["CommandTransport"]

COMMAND_LATENCY_MS = 3.0
COMMAND_TIMEOUT_MS = 300.0


class CommandTransport:
    """Deliver commands as the hooks of a harness say, and pass the answers to the cell.

    `starts_unanswered` counts unanswered starts by task.
    """

    def __init__(self, *, harness):
        self._harness = harness
        self._heard_incarnations = {}  # by owner and worker, on the open connections
        self.starts_unanswered = Counter()

    def _check_fence(self, cell, answer):
        if answer.refusal is Refusal.FENCED:
            self._harness.partitions.on_fenced(cell)

    def _is_cut(self, cell, worker):
        return not self._harness.partitions.reaches(cell, worker)

    def start(self, cell, effect):
        run = effect.run
        worker = self._harness.workers[run.worker.worker_id]
        lease_ms = lease_ms_for(run.worker)
        deadline_ms = run.worker.clock_ms(self._harness.now) + lease_ms
        fence = run.worker.fence(cell.context.epoch)
        ticket = run.task.step.ticket_for(worker.worker_id, self._harness.now)
        start = (ticket, run.task.name, run.run_id, fence, deadline_ms)
        if worker.is_replaced:
            yield self._harness.env.timeout(COMMAND_LATENCY_MS)
            answer = CommandAnswer(refusal=Refusal.OTHER_LIFE)
        elif self._schedule_if_delayed(effect, worker, self._deliver_start, start):
            self.starts_unanswered[run.task.name] += 1
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            answer = CommandAnswer(refusal=Refusal.SILENCE)
        elif self._is_cut(cell, worker) or self._harness.is_command_lost(effect):
            self.starts_unanswered[run.task.name] += 1
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            answer = CommandAnswer(refusal=Refusal.SILENCE)
        else:
            yield self._harness.env.timeout(self._harness.command_latency_ms(effect))
            answer = self._answer_to_start(effect, worker, start)
            yield self._harness.env.timeout(self._harness.answer_latency_ms(effect))
            if self._harness.omits_worker_clock(effect):
                answer = CommandAnswer(refusal=answer.refusal)
            if self._harness.is_start_answer_lost(effect):
                yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
                answer = CommandAnswer(refusal=Refusal.SILENCE)
        self._check_fence(cell, answer)
        if self._harness.is_current(cell):
            cell.on_start_answer(run, answer, now_ms=self._harness.now)

    def _answer_to_start(self, effect, worker, start):
        refusal = self._harness.refusal_for(effect)
        if refusal is None:
            return self._deliver_start(worker, *start, self._harness.now)
        return CommandAnswer(refusal=refusal, clock_ms=worker.clock(self._harness.now))

    def _deliver_start(self, worker, ticket, task, *command):
        """Start a run, which may crash the worker later."""
        has_ticket = self._harness.tickets.allow(worker, task, ticket)
        answer = worker.start(task, *command, has_ticket=has_ticket)
        if answer.refusal is Refusal.NONE:
            self._harness.check_capacity(worker, task)
            if self._harness.gangs is not None:
                self._harness.gangs.on_run_started(worker, task, command[0])
        after_ms = self._harness.crashes_after_ms(task)
        if answer.refusal is Refusal.NONE and after_ms is not None:
            self._harness.env.process(
                self._harness.faults.crash_if_running(task, worker, after_ms)
            )
        return answer

    def _schedule_if_delayed(self, effect, worker, command, arguments):
        """Schedule a delayed command; return whether it is delayed."""
        command_delay_ms = self._harness.command_delay_ms(effect)
        if command_delay_ms:
            self._harness.env.process(
                self._deliver_later(command_delay_ms, worker, command, arguments)
            )
        return command_delay_ms > 0

    def _deliver_later(self, command_delay_ms, worker, command, arguments):
        yield self._harness.env.timeout(command_delay_ms)
        if not worker.is_unreachable:
            command(worker, *arguments, self._harness.now)

    @staticmethod
    def _deliver_stop(worker, *command):
        return worker.stop(*command)

    @staticmethod
    def _deliver_pace(worker, *command):
        return worker.pace(*command)

    @staticmethod
    def _deliver_poll(worker, *command):
        return worker.poll(*command)

    def stop(self, cell, effect):
        run = effect.run
        worker = self._harness.workers[run.worker.worker_id]
        stop = (*run.key, run.worker.fence(cell.context.epoch))
        late = self._schedule_if_delayed(effect, worker, self._deliver_stop, stop)
        if worker.is_replaced:
            yield self._harness.env.timeout(COMMAND_LATENCY_MS)
            answer = CommandAnswer(refusal=Refusal.OTHER_LIFE)
        elif (
            late or self._is_cut(cell, worker) or self._harness.is_command_lost(effect)
        ):
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            answer = CommandAnswer(refusal=Refusal.SILENCE)
        else:
            yield self._harness.env.timeout(self._harness.command_latency_ms(effect))
            answer = worker.stop(*stop, self._harness.now)
            yield self._harness.env.timeout(self._harness.answer_latency_ms(effect))
        self._check_fence(cell, answer)
        if self._harness.is_current(cell) and not isinstance(run, fx.OrphanedRun):
            cell.on_stop_answer(run, answer, now_ms=self._harness.now)

    def pace(self, cell, effect):
        run = effect.run
        worker = self._harness.workers[run.worker.worker_id]
        fence = run.worker.fence(cell.context.epoch)
        pace = (*run.key, effect.percent, fence)
        late = self._schedule_if_delayed(effect, worker, self._deliver_pace, pace)
        if late or self._is_cut(cell, worker) or self._harness.is_command_lost(effect):
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            answer = CommandAnswer(refusal=Refusal.SILENCE)
        else:
            yield self._harness.env.timeout(COMMAND_LATENCY_MS)
            answer = worker.pace(*pace, self._harness.now)
        if self._harness.is_current(cell):
            cell.on_pace_answer(run, effect.percent, answer, now_ms=self._harness.now)

    def poll(self, cell, effect):
        worker = self._harness.workers[effect.worker.worker_id]
        deadline_ms = 0.0
        if effect.lease_ms:
            cell.poller.record_lease(
                effect.worker, effect.lease_ms, now_ms=self._harness.now
            )
            deadline_ms = effect.worker.clock_ms(self._harness.now) + effect.lease_ms
        fence = effect.worker.fence(cell.context.epoch)
        connection = (cell, worker.worker_id)
        is_first = self._heard_incarnations.get(connection) != worker.born_epoch_ms
        poll = (fence, 0, 0.0) if is_first else (fence, effect.last_end, deadline_ms)
        wait_ms = 0 if is_first else effect.wait_ms
        if self._schedule_if_delayed(effect, worker, self._deliver_poll, poll):
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            if self._harness.is_current(cell):
                cell.poller.on_poll_unanswered(
                    effect.worker, quick=effect.quick, now_ms=self._harness.now
                )
            return
        if not self._is_cut(cell, worker):
            worker.renew_lease(poll[0], poll[2], self._harness.now)
        until_ms = self._harness.now + max(wait_ms, COMMAND_LATENCY_MS)
        while self._harness.now < until_ms and not self._is_cut(cell, worker):
            worker.advance(self._harness.now)
            if wait_ms and any(r.number > effect.last_end for r in worker.ended):
                break
            yield self._harness.env.timeout(COMMAND_LATENCY_MS)
        report = None
        if worker.is_replaced:
            if self._harness.is_current(cell):
                cell.on_other_incarnation(effect.worker, now_ms=self._harness.now)
            return
        if not self._is_cut(cell, worker):
            report = worker.poll(*poll, self._harness.now)
            if report is None:
                self._harness.partitions.on_fenced(cell)
        else:
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
        if not self._harness.is_current(cell):
            return
        if report is None:
            self._heard_incarnations.pop(connection, None)
            cell.poller.on_poll_unanswered(
                effect.worker, quick=effect.quick, now_ms=self._harness.now
            )
        else:
            self._heard_incarnations[connection] = report.born_epoch_ms
            cell.on_report(
                effect.worker,
                report,
                poll[1],
                quick=effect.quick,
                now_ms=self._harness.now,
            )
