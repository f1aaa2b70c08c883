"""Orders and looks on their way to virtual workers, with what may befall them."""

from collections import Counter

from thymefork_cells import CommandAnswer, Refusal, effects as fx
from thymefork_cells.workers.worker_poller import LEASE_MS

__all__ = ["CommandTransport"]

COMMAND_LATENCY_MS = 3.0
COMMAND_TIMEOUT_MS = 300.0


class CommandTransport:
    """Carry orders out as a harness wants it, and hand the answers to the cell.

    `starts_unanswered` counts, by task, the starts that no worker has answered.
    """

    def __init__(self, *, harness):
        self._harness = harness
        self._heard_lives = {}  # on the connections that are open
        self.starts_unanswered = Counter()

    def forget_connections(self):
        """Begin without connections, as a new owner does."""
        self._heard_lives.clear()

    def start(self, cell, effect):
        run = effect.run
        worker = self._harness.workers[run.worker.worker_id]
        deadline_ms = run.worker.clock_ms(self._harness.now) + LEASE_MS
        fence = run.worker.fence(cell.context.epoch)
        start = (run.task.name, run.run_id, fence, deadline_ms)
        if worker.is_replaced:
            yield self._harness.env.timeout(COMMAND_LATENCY_MS)
            answer = CommandAnswer(refusal=Refusal.OTHER_LIFE)
        elif self._comes_late(effect, worker, self._carry_out_start, start):
            self.starts_unanswered[run.task.name] += 1
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            answer = CommandAnswer(refusal=Refusal.SILENCE)
        elif worker.is_unreachable or self._harness.is_command_lost(effect):
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
        if self._harness.is_current(cell):
            cell.on_start_answer(run, answer, now_ms=self._harness.now)

    def _answer_to_start(self, effect, worker, start):
        refusal = self._harness.refusal_for(effect)
        if refusal is None:
            return self._carry_out_start(worker, *start, self._harness.now)
        return CommandAnswer(refusal=refusal, clock_ms=worker.clock(self._harness.now))

    def _carry_out_start(self, worker, task, *order):
        """Start a run; its task may crash the worker."""
        answer = worker.start(task, *order)
        if answer.refusal is Refusal.NONE:
            self._harness.check_capacity(worker, task)
            if self._harness.gangs is not None:
                self._harness.gangs.on_start_answer(worker, task, order[0])
        after_ms = self._harness.crashes_after_ms(task)
        if answer.refusal is Refusal.NONE and after_ms is not None:
            self._harness.env.process(
                self._harness.faults.crash_if_running(task, worker, after_ms)
            )
        return answer

    def _comes_late(self, effect, worker, order, arguments):
        """Have an order carried out later, if it is to be; tell whether it is."""
        command_delay_ms = self._harness.command_delay_ms(effect)
        if command_delay_ms:
            self._harness.env.process(
                self._carry_out(command_delay_ms, worker, order, arguments)
            )
        return command_delay_ms > 0

    def _carry_out(self, command_delay_ms, worker, order, arguments):
        born_epoch_ms = worker.born_epoch_ms
        yield self._harness.env.timeout(command_delay_ms)
        if worker.is_unreachable:
            return
        is_unfenced = worker.born_epoch_ms != born_epoch_ms and not self._knows(worker)
        count = len(worker.history)
        order(worker, *arguments, self._harness.now)
        for run in worker.history[count:]:
            run.is_unfenced = is_unfenced

    def _knows(self, worker):
        """Tell whether the owner was answered by the life that a worker is in.

        Before that, nobody can have forbidden it anything.
        """
        followed = self._harness.cell.context.workers.get(worker.worker_id)
        if followed is None or followed.born_epoch_ms != worker.born_epoch_ms:
            return False
        return followed.answered_poll_ms > 0

    @staticmethod
    def _carry_out_stop(worker, *order):
        return worker.stop(*order)

    @staticmethod
    def _carry_out_look(worker, *order):
        return worker.poll(*order)

    def stop(self, cell, effect):
        run = effect.run
        worker = self._harness.workers[run.worker.worker_id]
        stop = (*run.key, run.worker.fence(cell.context.epoch))
        late = self._comes_late(effect, worker, self._carry_out_stop, stop)
        if worker.is_replaced:
            yield self._harness.env.timeout(COMMAND_LATENCY_MS)
            answer = CommandAnswer(refusal=Refusal.OTHER_LIFE)
        elif late or worker.is_unreachable or self._harness.is_command_lost(effect):
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            answer = CommandAnswer(refusal=Refusal.SILENCE)
        else:
            yield self._harness.env.timeout(self._harness.command_latency_ms(effect))
            answer = worker.stop(*stop, self._harness.now)
            yield self._harness.env.timeout(self._harness.answer_latency_ms(effect))
        if self._harness.is_current(cell) and not isinstance(run, fx.OrphanedRun):
            cell.on_stop_answer(run, answer, now_ms=self._harness.now)

    def pace(self, cell, effect):
        run = effect.run
        worker = self._harness.workers[run.worker.worker_id]
        fence = run.worker.fence(cell.context.epoch)
        task, run_id = run.key
        if worker.is_unreachable or self._harness.is_command_lost(effect):
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            answer = CommandAnswer(refusal=Refusal.SILENCE)
        else:
            yield self._harness.env.timeout(COMMAND_LATENCY_MS)
            answer = worker.pace(task, run_id, effect.percent, fence, self._harness.now)
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
        is_first = self._heard_lives.get(worker.worker_id) != worker.born_epoch_ms
        poll = (fence, 0, 0.0) if is_first else (fence, effect.last_end, deadline_ms)
        wait_ms = 0 if is_first else effect.wait_ms
        if self._comes_late(effect, worker, self._carry_out_look, poll):
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
            if self._harness.is_current(cell):
                cell.poller.on_poll_unanswered(
                    effect.worker, quick=effect.quick, now_ms=self._harness.now
                )
            return
        until_ms = self._harness.now + max(wait_ms, COMMAND_LATENCY_MS)
        while self._harness.now < until_ms and not worker.is_unreachable:
            worker.advance(self._harness.now)
            if wait_ms and any(r.number > effect.last_end for r in worker.ended):
                break
            yield self._harness.env.timeout(COMMAND_LATENCY_MS)
        report = None
        if worker.is_replaced:
            if self._harness.is_current(cell):
                cell.on_other_incarnation(effect.worker, now_ms=self._harness.now)
            return
        if not worker.is_unreachable:
            report = worker.poll(*poll, self._harness.now)
        else:
            yield self._harness.env.timeout(COMMAND_TIMEOUT_MS)
        if not self._harness.is_current(cell):
            return
        if report is None:
            self._heard_lives.pop(worker.worker_id, None)
            cell.poller.on_poll_unanswered(
                effect.worker, quick=effect.quick, now_ms=self._harness.now
            )
        else:
            self._heard_lives[worker.worker_id] = report.born_epoch_ms
            cell.on_report(
                effect.worker,
                report,
                poll[1],
                quick=effect.quick,
                now_ms=self._harness.now,
            )
