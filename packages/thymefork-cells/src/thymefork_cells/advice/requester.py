"""When to ask the advice service about a step, and about which workers."""

from operator import itemgetter

from ..effects import RequestAdvice
from ..state import Ticket
from .worker_selection import ApprovalRates, choose_workers, has_enough_tickets

__all__ = ["AdviceRequester"]

# The service takes at most this many workers in one call.
MOST_WORKERS = 100
# A ticket has to live this much longer than now to be worth a start: an append (10 ms)
# and the order's way to the worker come first.
TICKET_MARGIN_MS = 120.0
# A call that failed is tried again after this long.
ASK_AGAIN_MS = 150.0
# A step that has waited this long asks about the workers again that were denied, and
# then after twice as long each time: such a call keeps an instance busy for up to a
# second and brings nothing unless a worker was new to the service before.
ASK_ANEW_MS = 5_000.0
# A step whose tickets have no room, and for which nothing is to be asked, is checked
# again after this long: in overload a hundred steps wait so.
RECHECK_MS = 25.0
# A call waits behind more urgent ones that are wanted up to this much later for each
# step of priority, not behind all of them: under more load than the instances bear,
# calls of the last queue were never made, and their steps never started beside free
# workers.
PRIORITY_STEP_MS = 1_000.0
# A call for what is beyond its account's share comes later by so many steps.
BEYOND_SHARE_STEPS = 3
# A call for a step that its account's limit holds back comes later by so many, and is
# for as many tasks as may start, or these few: they start one by one as others end,
# and the tickets for all of them would lapse.
HELD_BACK_STEPS = 3
FEW_TASKS = 3
# A step is asked for before its turn by its call's cost and this much more.
AHEAD_MS = 250.0


class AdviceRequester:
    """Keep tickets ready for the steps whose turn comes."""

    def __init__(self, *, context, durations, speeds):
        self._context = context
        self._durations = durations
        self._speeds = speeds
        self._shares = ApprovalRates()
        self._wanting = []

    def policy(self, step):
        """Return the advice policy of a step's queue, or None."""
        queue = self._context.queue(step.job)
        return queue.advice if queue is not None else None

    def with_ticket(self, step, workers, now_ms):
        """Return those of the workers, given by id, that a step may start on.

        Their tickets last long enough for a start.
        """
        if self.policy(step) is None:
            return list(workers.values())
        until_ms = now_ms + TICKET_MARGIN_MS
        ids = [
            key for key, ticket in step.tickets.items() if ticket.until_ms > until_ms
        ]
        return [workers[worker_id] for worker_id in ids if worker_id in workers]

    def has_ticket(self, step, worker, now_ms):
        """Tell whether a start that leaves now would be permitted."""
        if self.policy(step) is None:
            return True
        return step.ticket_for(worker.worker_id, now_ms) is not None

    def queue_request(self, step, workers, now_ms, *, may_start, is_starved=False):
        """Note that a step may want a call, if its tickets may be missing soon.

        `workers` are given by id; `may_start` is how many tasks of the step its account
        may start now, `is_starved` that the account has wanted room for long and
        held none.
        """
        policy = self.policy(step)
        if policy is None or step.advice_asked or now_ms < step.advice_not_before_ms:
            return
        if not any(not task.done and not task.runs for task in step.tasks):
            return
        asked_about = min(MOST_WORKERS, len(workers))
        most_ms = policy.decision_ms + policy.per_worker_ms * asked_about
        if not self._is_near(step, most_ms, now_ms):
            return
        step.advice_wanted_ms = step.advice_wanted_ms or now_ms
        steps_later = 0 if is_starved else self._steps_later(step, may_start)
        due_ms = step.advice_wanted_ms + PRIORITY_STEP_MS * steps_later
        self._wanting.append((due_ms, len(self._wanting), step, workers, may_start))

    def _steps_later(self, step, may_start):
        """Return by how many steps of priority a step's call comes later."""
        steps = self._context.queue(step.job).priority
        steps += BEYOND_SHARE_STEPS * step.job.is_beyond_share
        return steps + HELD_BACK_STEPS * (not may_start)

    def send_requests(self, now_ms, *, permits):
        """Make the calls that were wanted, as many as there are instances for.

        The workers are chosen as a call is made: one that waits for an instance waits
        without them. `permits(step, worker, now_ms)` tells whether a worker is not kept
        for another step.
        """
        wanting, self._wanting = sorted(self._wanting, key=itemgetter(0, 1)), []
        for _, _, step, workers, may_start in wanting:
            policy = self.policy(step)
            if not self._may_be_called(policy.decision_ms):
                continue
            if self._context.defers_early_advice and not step.ready:
                self._context.count("owner_shed", "early_advice")
                continue
            self._forget_denials(step, now_ms)
            wanted = sum(1 for task in step.tasks if not task.done and not task.runs)
            wanted = min(wanted, max(may_start, FEW_TASKS))
            candidates = self._candidates(step, workers, wanted, now_ms, permits)
            if candidates:
                self._ask(step, policy, candidates)
                continue
            step.advice_wanted_ms = 0.0
            if step.ready:
                step.advice_not_before_ms = now_ms + RECHECK_MS

    def _may_be_called(self, cost_ms):
        """Tell whether there may be an instance for a call of such a cost or more."""
        slots = self._context.advice_slots
        return slots is None or slots.has_capacity(cost_ms)

    def _ask(self, step, policy, candidates):
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
        """Ask about all workers anew for a step that has waited for long.

        The policy does not change, but a worker that was new to the service when it
        was asked may have been left out of its answer.
        """
        patience_ms = ASK_ANEW_MS * 2**step.repeated_requests
        if step.ready and now_ms - max(step.ready_ms, step.denied_ms) > patience_ms:
            step.denied_ms = now_ms
            step.repeated_requests += 1
            step.denied.clear()

    def _candidates(self, step, workers, wanted, now_ms, permits):
        """Return the workers to ask about, none while tickets are enough.

        Of a step whose turn has come, what still waits could not be placed by the
        tickets that it holds, whatever room their workers have.
        """
        held = self.with_ticket(step, workers, now_ms)
        if held and not step.ready:
            return []
        known = step.denied | {worker.worker_id for worker in held}
        is_of_use = self._judge_of_use(step)
        with_room, others = [], []
        for worker_id, worker in workers.items():
            if worker_id in known:
                continue
            has_capacity = worker.has_capacity(step.spec) and permits(
                step, worker, now_ms
            )
            (with_room if has_capacity and is_of_use(worker) else others).append(worker)
        if step.ready and not with_room and has_enough_tickets(held, wanted):
            return self._to_renew(step, workers, now_ms)
        lateness = None
        if self._speeds.is_heterogeneous:
            lateness = self._durations.lateness_probability(step, now_ms)
        return choose_workers(
            step,
            with_room,
            others,
            wanted,
            approval_rate=self._shares.rate_of(step.job.queue_name),
            waited_ms=step.longest_wait_ms(now_ms),
            max_workers=MOST_WORKERS,
            lateness=lateness,
        )

    @staticmethod
    def _judge_of_use(step):
        """Return what tells whether a task that waits may go to a worker with room."""
        counts = step.runs_per_worker() if step.spec.most_per_worker else {}
        avoided_workers = [task.avoided_workers for task in step.waiting]
        avoided_by_all = (
            set.intersection(*avoided_workers) if avoided_workers else set()
        )

        def is_of_use(worker):
            worker_id = worker.worker_id
            if counts and counts.get(worker_id, 0) >= step.spec.most_per_worker:
                return False
            return worker_id not in avoided_by_all

        return is_of_use

    def has_unasked_workers(self, step, workers):
        """Tell whether there are workers that a step was not asked about yet."""
        if self.policy(step) is None:
            return False
        return not step.denied | step.tickets.keys() >= workers.keys()

    def _to_renew(self, step, workers, now_ms):
        """Return the allowed workers, if too few of their tickets are about to last.

        A step that waits for room needs valid tickets at the moment when room comes;
        a call for new ones then would come too late.
        """
        policy = self.policy(step)
        cost_ms = policy.decision_ms + policy.per_worker_ms * len(step.allowed)
        horizon_ms = now_ms + cost_ms + TICKET_MARGIN_MS
        allowed = [
            workers[worker_id]
            for worker_id in sorted(step.allowed & workers.keys())
            if workers[worker_id].fits_when_empty(step.spec)
        ]
        lasting = [
            worker
            for worker in allowed
            if step.ticket_for(worker.worker_id, horizon_ms) is not None
        ]
        if 2 * len(lasting) >= len(allowed):
            return []
        return allowed[:MOST_WORKERS]

    def _is_near(self, step, cost_ms, now_ms):
        if step.ready:
            return True
        job = step.job
        if job.due_ms(step.occurrence) - now_ms > cost_ms + AHEAD_MS:
            return False
        return self._wait_ms(step, now_ms) <= cost_ms + AHEAD_MS

    def _wait_ms(self, step, now_ms):
        """Return how long the steps before this one are expected to go on."""
        longest_ms = 0.0
        for index in step.spec.after:
            earlier = step.job.step(step.occurrence, index)
            for task in earlier.tasks:
                if task.done:
                    continue
                run = task.active_run
                if run is None:
                    left_ms = self._durations.expected_ms(earlier.spec) + AHEAD_MS
                else:
                    left_ms = self._durations.left_ms(run, now_ms)
                longest_ms = max(longest_ms, left_ms)
        return longest_ms

    def on_answer(self, step, worker_ids, tickets, valid_ms, *, now_ms):
        """Keep the tickets; `tickets` is None where no answer came."""
        step.advice_asked = False
        self._context.needs_plan = True
        if tickets is None and not step.job.is_live:
            return  # the call was withdrawn, or nobody waits for it any more
        if tickets is None:
            step.advice_not_before_ms = now_ms + ASK_AGAIN_MS
            self._context.count("retries", "advice_unanswered")
            self._context.note(
                "advice_unanswered", step=step.name, workers=len(worker_ids)
            )
            return
        self._shares.learn(step.job.queue_name, len(tickets), len(worker_ids))
        if step.allowed is None:
            step.allowed = set()
        for worker_id, text in tickets.items():
            step.allowed.add(worker_id)
            step.tickets[worker_id] = Ticket(text=text, until_ms=now_ms + valid_ms)
        step.denied.update(set(worker_ids) - set(tickets))
        step.denials_in_row = 0 if tickets else step.denials_in_row + 1
        if not tickets:
            step.advice_not_before_ms = now_ms + ASK_AGAIN_MS
