"""Request advice for steps, in time and about suitable workers."""

from ..effects import RequestAdvice
from ..state import Ticket
from .call_queue import MAX_WORKERS_PER_CALL, CallQueue
from .expected_losses import expected_losses
from .worker_selection import ApprovalRates, choose_workers, has_enough_tickets

__all__ = ["AdviceRequester"]

# Remaining validity that a ticket needs: a start is stored (10 ms) and sent first.
TICKET_MARGIN_MS = 120.0
# Delay before a failed call is retried.
RETRY_DELAY_MS = 150.0
# A step that has waited this long asks again about denied workers, and then after twice
# as long each time: such a call keeps an instance busy for up to a second, and the
# answer differs only for workers that were new to the service.
DENIAL_EXPIRY_MS = 5_000.0
# Delay before a step is checked again that has no use for a call; in overload a hundred
# steps wait so.
RECHECK_MS = 25.0


class AdviceRequester:
    """Request tickets before steps need them."""

    def __init__(self, *, context, durations, speeds):
        self._context = context
        self._durations = durations
        self._speeds = speeds
        self._approval_rates = ApprovalRates()
        self._queue = CallQueue(context=context, durations=durations)

    def policy(self, step):
        """Return the advice policy of a step's queue, or None."""
        queue = self._context.queue(step.job)
        return queue.advice if queue is not None else None

    def with_ticket(self, step, workers, now_ms):
        """Return the workers for which a step has tickets that last for a start.

        `workers` maps ids to workers.
        """
        if self.policy(step) is None:
            return list(workers.values())
        until_ms = now_ms + TICKET_MARGIN_MS
        ids = [
            key for key, ticket in step.tickets.items() if ticket.until_ms > until_ms
        ]
        return [workers[worker_id] for worker_id in ids if worker_id in workers]

    def has_ticket(self, step, worker, now_ms):
        """Return whether a start that is sent now has a valid ticket."""
        if self.policy(step) is None:
            return True
        return step.ticket_for(worker.worker_id, now_ms) is not None

    def queue_request(self, step, workers, now_ms, *, may_start, is_starved=False):
        """Queue a call for a step that may soon lack tickets.

        `workers` maps ids to workers, `may_start` is the number of tasks that the
        account's limits allow to start, and `is_starved` refers to the account.
        """
        policy = self.policy(step)
        if policy is not None:
            levels = 0 if is_starved else None
            self._queue.add(
                step, policy, workers, now_ms, may_start=may_start, levels=levels
            )

    def queue_early_requests(self, workers_of, now_ms):
        """Queue calls for steps that will soon lose runs on silent workers.

        With the tickets their tasks start as soon as the leases there are over.
        `workers_of(step)` maps the ids of the workers of a step's service to them.
        """
        if not self._context.asks_for_advice:
            return
        for step, loss in expected_losses(self._context.workers.values()).items():
            policy = self.policy(step)
            if policy is not None:
                self._queue.add_early(step, policy, workers_of(step), loss, now_ms)

    def send_requests(self, now_ms, *, permits):
        """Make the queued calls, as many as there are advice instances for.

        Workers are selected as a call is made, so that they still have capacity.
        `permits(step, worker, now_ms)` returns whether a worker is not reserved for
        another step.
        """
        for call in self._queue.take():
            step = call.step
            policy = self.policy(step)
            if not self._may_have_instance(policy.decision_ms):
                continue
            is_early = call.is_early or not step.ready
            if self._context.defers_early_advice and is_early:
                self._context.count("owner_shed", "early_advice")
                continue
            self._forget_denials(step, now_ms)
            candidates = self._candidates(call, now_ms, permits)
            if candidates:
                self._request(step, policy, candidates)
                continue
            step.advice_wanted_ms = 0.0
            if step.ready:
                step.advice_not_before_ms = now_ms + RECHECK_MS

    def _may_have_instance(self, cost_ms):
        """Return whether an instance may be free for a call of at least this cost."""
        slots = self._context.advice_slots
        return slots is None or slots.has_capacity(cost_ms)

    def _request(self, step, policy, candidates):
        cost_ms = policy.decision_ms + policy.per_worker_ms * len(candidates)
        slots = self._context.advice_slots
        if slots is not None and not slots.take(cost_ms):
            return
        step.advice_asked = True
        step.advice_wanted_ms = 0.0
        queue = self._context.queue(step.job)
        self._context.count("advice_workers", queue.name, len(candidates))
        self._context.emit(
            RequestAdvice(
                step=step,
                worker_ids=tuple(worker.worker_id for worker in candidates),
                cost_ms=cost_ms,
                priority=queue.priority,
            )
        )

    @staticmethod
    def _forget_denials(step, now_ms):
        """Forget the denials of a step that has waited for long.

        The policy does not change, but the service may have omitted workers that were
        new to it.
        """
        expiry_ms = DENIAL_EXPIRY_MS * 2**step.denial_reset_count
        if (
            step.ready
            and now_ms - max(step.ready_ms, step.denials_cleared_ms) > expiry_ms
        ):
            step.denials_cleared_ms = now_ms
            step.denial_reset_count += 1
            step.denied.clear()

    def _candidates(self, call, now_ms, permits):
        """Return the workers to ask about, none while the tickets suffice.

        Tasks of a ready step that still wait could not be placed with its tickets.
        """
        step, workers, wanted = call.step, call.workers, call.wanted
        held = self.with_ticket(step, workers, max(now_ms, call.needed_ms))
        if held and not step.ready:
            return []
        if call.is_early and any(worker.has_capacity(step.spec) for worker in held):
            return []
        known = step.denied | {worker.worker_id for worker in held}
        is_usable = self._usability_check(step)
        with_capacity, others = [], []
        for worker_id, worker in workers.items():
            if worker_id in known:
                continue
            has_capacity = worker.has_capacity(step.spec) and permits(
                step, worker, now_ms
            )
            (with_capacity if has_capacity and is_usable(worker) else others).append(
                worker
            )
        if step.ready and not with_capacity and has_enough_tickets(held, wanted):
            return self._tickets_to_renew(step, workers, now_ms)
        lateness = None
        if self._speeds.is_heterogeneous:
            lateness = self._durations.lateness_probability(step, now_ms)
        return choose_workers(
            step,
            with_capacity,
            others,
            wanted,
            approval_rate=self._approval_rates.rate_of(step.job.queue_name),
            waited_ms=step.longest_wait_ms(now_ms),
            max_workers=MAX_WORKERS_PER_CALL,
            lateness=lateness,
        )

    @staticmethod
    def _usability_check(step):
        """Return a predicate: may a waiting task go to a given worker with capacity?"""
        runs_per_worker = step.runs_per_worker() if step.spec.most_per_worker else {}
        avoided_workers = [task.avoided_workers for task in step.waiting]
        avoided_by_all = (
            set.intersection(*avoided_workers) if avoided_workers else set()
        )

        def is_usable(worker):
            worker_id = worker.worker_id
            if (
                runs_per_worker
                and runs_per_worker.get(worker_id, 0) >= step.spec.most_per_worker
            ):
                return False
            return worker_id not in avoided_by_all

        return is_usable

    def has_unasked_workers(self, step, workers):
        """Return whether the policy was not asked about some of the workers yet."""
        if self.policy(step) is None:
            return False
        return not step.denied | step.tickets.keys() >= workers.keys()

    def _tickets_to_renew(self, step, workers, now_ms):
        """Return the allowed workers if too many of their tickets expire soon.

        A step that waits for capacity needs valid tickets as soon as some is freed.
        """
        policy = self.policy(step)
        cost_ms = policy.decision_ms + policy.per_worker_ms * len(step.allowed)
        horizon_ms = now_ms + cost_ms + TICKET_MARGIN_MS
        allowed = [
            workers[worker_id]
            for worker_id in sorted(step.allowed & workers.keys())
            if workers[worker_id].fits_when_empty(step.spec)
        ]
        valid_workers = [
            worker
            for worker in allowed
            if step.ticket_for(worker.worker_id, horizon_ms) is not None
        ]
        if 2 * len(valid_workers) >= len(allowed):
            return []
        return allowed[:MAX_WORKERS_PER_CALL]

    def on_answer(self, step, worker_ids, tickets, valid_ms, *, now_ms):
        """Store the tickets of an answer; `tickets` is None if there was none."""
        step.advice_asked = False
        self._context.needs_plan = True
        if tickets is None and not step.job.is_live:
            return  # the call was withdrawn, or its job has ended
        if tickets is None:
            step.advice_not_before_ms = now_ms + RETRY_DELAY_MS
            self._context.count("retries", "advice_unanswered")
            self._context.note(
                "advice_unanswered", step=step.name, workers=len(worker_ids)
            )
            return
        self._approval_rates.learn(step.job.queue_name, len(tickets), len(worker_ids))
        if step.allowed is None:
            step.allowed = set()
        for worker_id, text in tickets.items():
            step.allowed.add(worker_id)
            step.tickets[worker_id] = Ticket(text=text, until_ms=now_ms + valid_ms)
        step.denied.update(set(worker_ids) - set(tickets))
        step.denials_in_row = 0 if tickets else step.denials_in_row + 1
        if not tickets:
            step.advice_not_before_ms = now_ms + RETRY_DELAY_MS
