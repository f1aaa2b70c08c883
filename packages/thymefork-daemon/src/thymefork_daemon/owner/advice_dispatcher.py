"""Distribution of calls to the advice service over the instances."""

import heapq
import random
from itertools import count

from thymefork_cells import LONG_CALL_MS, AdviceSlots
from thymefork_cells.advice.call_queue import PRIORITY_LEVEL_MS
from thymefork_net import steady_ms
from thymefork_net.peers import AdviceRequest

from .advice_proxy import AdviceProxy, is_wanted
from .short_call_reserve import ShortCallReserve

__all__ = ["AdviceDispatcher"]

# A call times out after its expected duration times this factor, plus slack for links:
# the service handles one call of an instance after another, so another owner's call may
# come first.
TIMEOUT_FACTOR = 2.5
TIMEOUT_SLACK_MS = 500.0
# An instance that did not answer gets no calls for this long.
PAUSE_MS = 1_500.0
# Call ids start at a random number and count up for all owners of this process, so that
# an answer never matches a call of another cell, ownership or process. The wire type is
# a signed 64-bit integer.
MAX_FIRST_CALL_ID = 2**62
_CALL_IDS = count(random.SystemRandom().randrange(1, MAX_FIRST_CALL_ID))


class AdviceDispatcher:
    """Send each instance one call at a time, the most urgent first, with a timeout.

    `on_answer(step, worker_ids, tickets, valid_ms)` takes each result; `tickets` is
    None if there was no answer. `start_fraction`, from 0 to 1, is the position at which
    this owner starts in the list of instances; with different positions, owners don't
    wait for each other's calls. `notify_withdrawn(link, call_ids)` tells an instance
    which calls are no longer wanted.
    """

    def __init__(
        self,
        *,
        client,
        timers,
        metrics,
        instance,
        start_fraction,
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
        self._start_fraction = start_fraction
        self._waiting = []
        self._tie_breakers = count(1)
        self._proxy_by_call = {}
        self._dispatching = False
        self._needs_another_pass = False
        self._ended = False
        self._reserve = ShortCallReserve(now_ms=steady_ms())

    def update(self, links):
        """Update the proxies from the open links to other instances."""
        names = {link.peer.instance: link for link in links}
        for name, link in names.items():
            proxy = self._proxies.setdefault(name, AdviceProxy(name=name))
            if proxy.name != self._local_name:
                proxy.link = link
        self._remove({*self._proxies} - {*names, self._local_name})
        self._dispatch()

    def _remove(self, names):
        """Remove instances, all of them before any call at one fails.

        A failed call may lead to new ones, which must not be sent over a broken link; a
        link that breaks then calls this method again.
        """
        removed = [self._proxies.pop(name) for name in sorted(names)]
        for proxy in removed:
            self._fail(proxy)

    def end(self):
        """Discard all calls; the next owner of the cell makes its own."""
        self._ended = True
        self._waiting.clear()
        self._proxy_by_call.clear()
        for proxy in self._proxies.values():
            proxy.effect = None
            self._timers.cancel(proxy.timer_id)

    def withdraw_unwanted(self):
        """Drop the calls for jobs that have ended.

        Other instances are asked not to make the calls that they have not sent yet. A
        call that the service has started goes on and keeps its instance busy.
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
        for proxy in unwanted:  # a broken link changes the proxies
            if proxy.link is not None and proxy.is_unwanted:
                self._notify_withdrawn(proxy.link, [proxy.call_id])

    def current_slots(self):
        """Withdraw unwanted calls and return the slots that are left."""
        self.withdraw_unwanted()
        return self.slots

    @property
    def slots(self):
        """Return how many more calls could be sent now, besides those waiting."""
        now_ms = steady_ms()
        free = sum(self._is_free(name, now_ms) for name in self._proxies)
        free_for_long_calls = sum(
            self._is_free(name, now_ms) for name in self._names_for_long_calls()
        )
        waiting = len(self._waiting)
        return AdviceSlots(
            free_slots=free - waiting,
            free_long_call_slots=free_for_long_calls - waiting,
        )

    def _is_free(self, name, now_ms):
        proxy = self._proxies[name]
        return proxy.effect is None and now_ms >= proxy.paused_until_ms

    def ask(self, effect):
        """Queue a call."""
        if self._ended:
            return
        now_ms = steady_ms()
        due_ms = now_ms + effect.priority * PRIORITY_LEVEL_MS
        row = (due_ms, next(self._tie_breakers), now_ms, effect)
        heapq.heappush(self._waiting, row)
        self._dispatch()

    def on_reply(self, reply):
        """Handle another instance's reply; return whether the call was made here."""
        proxy = self._proxy_by_call.pop(reply.call_id, None)
        if proxy is None or proxy.call_id != reply.call_id:
            return False
        tickets = None
        if reply.answered:
            tickets = {row.worker_id: row.ticket for row in reply.tickets}
        self._finish(proxy, tickets, reply.valid_ms)
        return True

    def _dispatch(self):
        """Send waiting calls to free proxies.

        Sending may break a link and call this method again; the outer call then makes
        another pass over all waiting calls.
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
        """Return all instances in the order in which this owner prefers them."""
        names = sorted(self._proxies)
        first = int(self._start_fraction * len(names))
        return names[first:] + names[:first]

    def _names_for_long_calls(self):
        """Return the instances that also take long calls."""
        names = self._names_in_order()
        return names[: max(1, len(names) - self._reserve.size(len(names)))]

    def _send(self, proxy, effect):
        call_id = next(_CALL_IDS)
        proxy.effect, proxy.call_id = effect, call_id
        proxy.is_withdrawn = False
        self._record_short_calls()
        timeout_ms = effect.cost_ms * TIMEOUT_FACTOR + TIMEOUT_SLACK_MS
        if proxy.link is None:
            self._client.ask(
                step_name=effect.step.name,
                worker_ids=effect.worker_ids,
                timeout_ms=timeout_ms,
                wanted=lambda: is_wanted(effect),
                done=lambda tickets, valid_ms: self._on_local_answer(
                    proxy, call_id, tickets, valid_ms
                ),
            )
            return
        self._proxy_by_call[call_id] = proxy
        proxy.timer_id = self._timers.after(
            timeout_ms + TIMEOUT_SLACK_MS / 2,
            lambda: self._time_out(proxy, call_id),
        )
        proxy.link.send(
            AdviceRequest(
                call_id=call_id,
                step=effect.step.name,
                workers=list(effect.worker_ids),
                patience_ms=int(timeout_ms),
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
            # If all suitable proxies are paused, no answer would trigger a dispatch.
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
