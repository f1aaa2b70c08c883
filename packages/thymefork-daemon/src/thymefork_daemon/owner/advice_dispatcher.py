"""Calls to the advice service, spread over the instances."""

import heapq
import random
from itertools import count

from thymefork_cells import LONG_CALL_MS, AdviceSlots
from thymefork_cells.advice.requester import PRIORITY_STEP_MS
from thymefork_net import steady_ms
from thymefork_net.peers import AdviceRequest

from .advice_proxy import AdviceProxy, is_wanted
from .short_call_reserve import ShortCallReserve

__all__ = ["AdviceDispatcher"]

# A call is given up after its cost by the service's figures, times this, plus slack
# for links: the service may be a little slow, and works on one call of an instance
# after another, so that another owner's call there may come first.
TIMEOUT_FACTOR = 2.5
TIMEOUT_SLACK_MS = 500.0
# An instance that did not answer gets no calls for this long.
PAUSE_MS = 1_500.0
# Calls are numbered across all owners of this process, from a number of its own: an
# answer names nothing but its call, and must not fit one of another cell, of a former
# ownership or of a former life. The wire's numbers end at 2 to the 63rd; half of them
# are left to count on.
MAX_FIRST_CALL_ID = 2**62
_CALL_IDS = count(random.SystemRandom().randrange(1, MAX_FIRST_CALL_ID))


class AdviceDispatcher:
    """Give each instance one call at a time, the most urgent first, none for ever.

    `on_answer(step, worker_ids, tickets, valid_ms)` takes each outcome; tickets are
    None where no answer came. `run_cycle`, from 0 to 1, is where this owner begins among
    the instances: owners that all began with the same ones would wait for each other.
    `tell_withdrawn(link, call_ids)` tells an instance of calls that nobody wants.
    """

    def __init__(
        self,
        *,
        client,
        timers,
        metrics,
        instance,
        run_cycle,
        on_answer,
        notify_withdrawn=lambda link, call_ids: None,
    ):
        self._client = client
        self._timers = timers
        self._metrics = metrics
        self._on_answer = on_answer
        self._notify_withdrawn = notify_withdrawn
        self._proxies = {instance: AdviceProxy(name=instance)}
        self._local_name = instance
        self._turn = run_cycle
        self._waiting = []
        self._tie_breakers = count(1)
        self._proxy_by_call = {}
        self._dispatching = False
        self._needs_another_pass = False
        self._ended = False
        self._reserve = ShortCallReserve(now_ms=steady_ms())

    def update(self, links):
        """Take the links to the other instances that are open now."""
        names = {link.peer.instance: link for link in links}
        for name, link in names.items():
            proxy = self._proxies.setdefault(name, AdviceProxy(name=name))
            if proxy.name != self._local_name:
                proxy.link = link
        self._remove({*self._proxies} - {*names, self._local_name})
        self._dispatch()

    def _remove(self, names):
        """Forget instances; all of them before the first call there is failed.

        What waits would go out on a broken link otherwise. A call that is failed may
        lead to others, and a link that breaks under those comes back to here.
        """
        removed = [self._proxies.pop(name) for name in sorted(names)]
        for proxy in removed:
            self._fail(proxy)

    def end(self):
        """Make no more calls and wait for none: they are the next owner's to make."""
        self._ended = True
        self._waiting.clear()
        self._proxy_by_call.clear()
        for proxy in self._proxies.values():
            proxy.effect = None
            self._timers.cancel(proxy.timer_id)

    def withdraw_unwanted(self):
        """Drop the calls for jobs that have ended.

        What another instance has not passed on to the service yet is not made there;
        one that the service works on is let be, and keeps the instance busy.
        """
        wanted = [row for row in self._waiting if is_wanted(row[3])]
        if len(wanted) < len(self._waiting):
            dropped = len(self._waiting) - len(wanted)
            self._metrics.count("advice_withdrawn", "waiting", dropped)
            heapq.heapify(wanted)
            self._waiting = wanted
        unwanted = [
            proxy
            for proxy in self._proxies.values()
            if proxy.is_unwanted and not proxy.is_withdrawn
        ]
        for proxy in unwanted:
            proxy.is_withdrawn = True
            self._metrics.count("advice_withdrawn", "under_way")
        for proxy in unwanted:  # a link that breaks under it changes the advisers
            if proxy.link is not None and proxy.is_unwanted:
                self._notify_withdrawn(proxy.link, [proxy.call_id])

    def current_slots(self):
        """Return the slots that are left once nothing unwanted waits."""
        self.withdraw_unwanted()
        return self.slots

    @property
    def slots(self):
        """Return how many calls would be made at once, beside what waits already."""
        now_ms = steady_ms()
        free = sum(self._is_free(name, now_ms) for name in self._proxies)
        free_for_long_calls = sum(
            self._is_free(name, now_ms) for name in self._names_for_long_calls()
        )
        waiting = len(self._waiting)
        return AdviceSlots(
            any_call=free - waiting, long_call=free_for_long_calls - waiting
        )

    def _is_free(self, name, now_ms):
        proxy = self._proxies[name]
        return proxy.effect is None and now_ms >= proxy.paused_until_ms

    def ask(self, effect):
        """Queue a call."""
        if self._ended:
            return
        now_ms = steady_ms()
        due_ms = now_ms + effect.priority * PRIORITY_STEP_MS
        row = (due_ms, next(self._tie_breakers), now_ms, effect)
        heapq.heappush(self._waiting, row)
        self._dispatch()

    def on_reply(self, reply):
        """Take another instance's answer; tell whether it is to a call from here."""
        proxy = self._proxy_by_call.pop(reply.call_id, None)
        if proxy is None or proxy.call_id != reply.call_id:
            return False
        tickets = None
        if reply.answered:
            tickets = {row.worker_id: row.ticket for row in reply.tickets}
        self._finish(proxy, tickets, reply.valid_ms)
        return True

    def _dispatch(self):
        """Send what waits to whoever is free.

        A send may break a link and come back to here. The outer call then looks again
        at all that waits: it holds what it has put aside.
        """
        self._needs_another_pass = True
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._needs_another_pass:
                self._needs_another_pass = False
                self._dispatch_waiting()
        finally:
            self._dispatching = False

    def _dispatch_waiting(self):
        kept = []
        try:
            while self._waiting and not self._ended:
                row = heapq.heappop(self._waiting)
                effect = row[3]
                if not is_wanted(effect):
                    self._metrics.count("advice_withdrawn", "waiting")
                    continue
                proxy = self._find_free_proxy(effect)
                if proxy is None:
                    kept.append(row)
                    if _is_short(effect):
                        break
                    continue
                self._metrics.observe("advice", steady_ms() - row[2], kind="queued")
                self._send(proxy, effect)
        finally:
            for row in kept:
                heapq.heappush(self._waiting, row)

    def _find_free_proxy(self, effect):
        now_ms = steady_ms()
        if not _is_short(effect):
            names = self._names_for_long_calls()
        else:
            names = reversed(self._names_in_order())
        for name in names:
            if self._is_free(name, now_ms):
                return self._proxies[name]
        return None

    def _names_in_order(self):
        """Return the instances in the order in which this owner begins with them."""
        names = sorted(self._proxies)
        first = int(self._turn * len(names))
        return names[first:] + names[:first]

    def _names_for_long_calls(self):
        """Return the instances that take long calls, too."""
        names = self._names_in_order()
        return names[: max(1, len(names) - self._reserve.size(len(names)))]

    def _send(self, proxy, effect):
        call_id = next(_CALL_IDS)
        proxy.effect, proxy.call_id = effect, call_id
        proxy.is_withdrawn = False
        self._record_short_calls()
        patience_ms = effect.cost_ms * TIMEOUT_FACTOR + TIMEOUT_SLACK_MS
        if proxy.link is None:
            self._client.ask(
                step_name=effect.step.name,
                worker_ids=effect.worker_ids,
                patience_ms=patience_ms,
                wanted=lambda: is_wanted(effect),
                done=lambda tickets, valid_ms: self._on_local_answer(
                    proxy, call_id, tickets, valid_ms
                ),
            )
            return
        self._proxy_by_call[call_id] = proxy
        proxy.timer_id = self._timers.after(
            patience_ms + TIMEOUT_SLACK_MS / 2,
            lambda: self._time_out(proxy, call_id),
        )
        proxy.link.send(
            AdviceRequest(
                call_id=call_id,
                step=effect.step.name,
                workers=list(effect.worker_ids),
                patience_ms=int(patience_ms),
            )
        )

    def _record_short_calls(self):
        calls = (proxy.effect for proxy in self._proxies.values())
        in_flight = sum(call is not None and _is_short(call) for call in calls)
        self._reserve.record(in_flight, steady_ms())

    def _on_local_answer(self, proxy, call_id, tickets, valid_ms):
        if proxy.call_id == call_id:
            self._finish(proxy, tickets, valid_ms)

    def _time_out(self, proxy, call_id):
        if proxy.call_id == call_id and proxy.effect is not None:
            self._proxy_by_call.pop(call_id, None)
            proxy.paused_until_ms = steady_ms() + PAUSE_MS
            # The end of a pause is an event of its own: where all that may take a call
            # are paused, no answer comes that would have anybody look at what waits.
            self._timers.at(proxy.paused_until_ms, self._dispatch)
            self._metrics.count("retries", "adviser_silent")
            self._finish(proxy, None, 0)

    def _fail(self, proxy):
        if proxy.effect is not None:
            self._proxy_by_call.pop(proxy.call_id, None)
            self._finish(proxy, None, 0)

    def _finish(self, proxy, tickets, valid_ms):
        effect, proxy.effect = proxy.effect, None
        self._timers.cancel(proxy.timer_id)
        if effect is not None:
            self._on_answer(effect.step, effect.worker_ids, tickets, valid_ms)
        self._dispatch()


def _is_short(effect):
    return effect.cost_ms <= LONG_CALL_MS
