"""Lookups and streams through this instance."""

from attrs import define, evolve

from thymefork_core.peer import HopReply
from thymefork_core.reasons import Reason, Retry
from thymefork_core.routing import (
    DeadlineQueue,
    LatencyEstimate,
    RetryBudget,
    choose_endpoint,
    choose_for_stream,
)

from ..effects import Proxy, ReplyLookup, SendPeer, Timing
from ..messages import LookupRequest
from .hops import Hops

__all__ = ["Router"]

HOP_PREFIX = "hop|"
LATENCY_WEIGHT = 0.2
LATE_SLOT_MS = 1000
STATUS_REFUSED = 503
STATUS_UNKNOWN = 504
STATUS_NO_SERVICE = 404
NO_SLOT_AT_PEER = 0


@define(kw_only=True)
class _Running:
    """A lookup or stream that was sent to an endpoint."""

    request: object
    worker: str
    tries: int = 1
    caller_here: bool = True


class Router:
    """Send each lookup to a free slot: own, a peer's, or after a short wait."""

    def __init__(self, *, context):
        self.ctx = context
        self.running = {}
        self.hops = Hops(context=context)
        self.queue = DeadlineQueue()
        self.budget = RetryBudget()
        self._late = []
        self._latency = LatencyEstimate()

    def __len__(self):
        return len(self.running) + len(self.hops) + len(self.queue)

    def streams_held(self, worker):
        """Return how many streams are open at a worker."""
        return sum(
            1 for r in self.running.values() if r.worker == worker and r.request.stream
        )

    def lookups_open(self, worker):
        """Return how many lookups are open at a worker."""
        return sum(
            1
            for r in self.running.values()
            if r.worker == worker and not r.request.stream
        )

    # Requests ----------------------------------------------------------------

    def on_request(self, request):
        """Send a lookup on, let it wait, or refuse it at once."""
        ctx = self.ctx
        service = ctx.file.service(request.service) if ctx.file else None
        if ctx.file is None:
            self._refuse(request, Reason.NO_CONFIG)
        elif service is None:
            self._refuse(request, Reason.UNKNOWN_SERVICE, status=STATUS_NO_SERVICE)
        elif request.deadline_ms <= ctx.now.wall_ms:
            self._refuse(request, Reason.DEADLINE)
        else:
            latest_ms = ctx.now.wall_ms + service.lookup_timeout_ms
            if not request.stream:
                deadline_ms = min(request.deadline_ms, latest_ms)
                request = evolve(request, deadline_ms=deadline_ms)
            self.budget.earn()
            self._route(request)

    def _route(self, request):
        if self._send_here(request):
            return
        if request.stream:
            if request.hopped or not self._pass_stream_on(request):
                self._refuse(request, Reason.NO_SLOT)
            return
        if request.hopped:
            self._refuse(request, Reason.NO_SLOT)
        elif not self.hops.pass_on(request):
            self._wait_or_refuse(request)

    def _wait_or_refuse(self, request):
        """Let a lookup wait if its turn will come before its deadline."""
        service = self.ctx.file.service(request.service)
        if service is None or len(self.queue) >= service.queue_limit:
            self._refuse(request, Reason.OVERLOADED)
        elif self._wait_ends_ms() > request.deadline_ms:
            self._refuse(request, Reason.NO_SLOT)
        else:
            self.queue.add(request)

    def _send_here(self, request, tries=1):
        ctx = self.ctx
        if not ctx.may_send():
            return False
        choose = choose_for_stream if request.stream else choose_endpoint
        view = choose(ctx.book)
        if view is None:
            return False
        if request.stream:
            view.streams += 1
        else:
            view.lookups += 1
        ctx.book.touch(view)
        self.running[request.request_id] = _Running(
            request=request, worker=view.name, tries=tries
        )
        ctx.emit(self._proxy(request, view.name))
        return True

    def _proxy(self, request, worker):
        return Proxy(
            request_id=request.request_id,
            worker=worker,
            service=request.service,
            target=request.target,
            body=request.body,
            deadline_ms=request.deadline_ms,
            stream=request.stream,
        )

    def _wait_ends_ms(self):
        """Estimate when a lookup that queues now would be answered."""
        views = self.ctx.book.views.values()
        slots = sum(view.slots for view in views if view.open_for_work)
        if not slots or not self.ctx.may_send():
            return float("inf")
        wait_ms = (len(self.queue) + 1) * self._latency.mean_ms / slots
        return self.ctx.now.wall_ms + wait_ms + self._latency.expected_ms

    def _is_too_late(self, request):
        """Tell whether an answer is not to be expected before the deadline."""
        answered_ms = self.ctx.now.wall_ms + self._latency.mean_ms
        return answered_ms > request.deadline_ms

    def _refuse(self, request, reason, status=STATUS_REFUSED):
        self.ctx.count(reason)
        self._reply(request.request_id, status, b"", reason)

    def _reply(self, request_id, status, body, reason=None):
        ctx = self.ctx
        if request_id.startswith(HOP_PREFIX):
            _, peer, hop_id = request_id.split("|", 2)
            sent_status = NO_SLOT_AT_PEER if reason is not None else status
            message = HopReply(hop_id=hop_id, status=sent_status, body=body)
            ctx.emit(SendPeer(peer=peer, message=message))
            return
        back_ms = ctx.come_back_at_ms if status == STATUS_REFUSED else 0
        ctx.emit(
            ReplyLookup(
                request_id=request_id,
                status=status,
                body=body,
                reason=reason,
                come_back_at_ms=back_ms,
            )
        )

    # Endpoints' answers ------------------------------------------------------

    def on_ended(self, message):
        """Free the slot, answer the caller and send the next one waiting."""
        ctx = self.ctx
        running = self.running.pop(message.request_id, None)
        if running is None:
            return
        self._free(running, message)
        if message.status:
            ctx.emit(Timing(name="lookup", value_ms=message.took_ms))
            if running.caller_here and not running.request.stream:
                self._reply(message.request_id, message.status, message.body)
        elif running.caller_here:
            self._retry(running, message)
        self.drain_queue()

    def _free(self, running, message):
        view = self.ctx.book.get(message.worker)
        if view is None:
            return
        if running.request.stream:
            view.streams = max(0, view.streams - 1)
            self.ctx.book.touch(view)
            return
        if message.sent and not message.status:
            service = self.ctx.file.service(running.request.service)
            late_ms = service.lookup_timeout_ms if service else LATE_SLOT_MS
            self._late.append((self.ctx.now.mono_ms + late_ms, view))
        else:
            view.lookups = max(0, view.lookups - 1)
        if message.status:
            drift_ms = LATENCY_WEIGHT * (message.took_ms - view.latency_ms)
            view.latency_ms += drift_ms
            self._latency.note(message.took_ms)
        else:
            view.latency_ms = min(2000.0, 2 * view.latency_ms + 1)
        self.ctx.book.touch(view)

    def _retry(self, running, message):
        """Try a lookup at another endpoint while its deadline and budget allow."""
        request = running.request
        in_time = request.deadline_ms > self.ctx.now.wall_ms
        if in_time and running.tries < 3 and self.budget.spend():
            self.ctx.count(Retry.LOOKUP_HOP)
            if self._send_here(request, tries=running.tries + 1):
                return
        if message.sent:
            self.ctx.count(Reason.LOST)
            self._reply(request.request_id, STATUS_UNKNOWN, b"", Reason.LOST)
        else:
            self._refuse(request, Reason.NO_SLOT)

    def drain_queue(self):
        """Send waiting lookups while there are free slots."""
        while len(self.queue):
            request = self.queue.pop_next()
            if self._is_too_late(request):
                self._refuse(request, Reason.DEADLINE)
                continue
            if self._send_here(request):
                continue
            if request.hopped or not self.hops.pass_on(request):
                self.queue.add(request)
                return

    def on_caller_gone(self, request_id):
        """Forget a caller; its slot stays taken until the endpoint has answered."""
        running = self.running.get(request_id)
        if running is not None:
            running.caller_here = False
        self.hops.end(request_id)
        self.queue.drop(request_id)

    # Peers -------------------------------------------------------------------

    def _pass_stream_on(self, request):
        """Pass a stream on through a hall peer's own front door."""
        worker = self.hops.front_door_for(request.service)
        if worker is None:
            return False
        self.running[request.request_id] = _Running(request=request, worker=worker)
        self.ctx.emit(self._proxy(request, worker))
        return True

    def on_hop(self, peer, message):
        """Serve a peer's lookup, if a slot is free now."""
        self.on_request(
            LookupRequest(
                request_id=f"{HOP_PREFIX}{peer}|{message.hop_id}",
                service=message.service_name,
                target=message.target,
                body=message.body,
                deadline_ms=message.deadline_ms,
                hopped=True,
            )
        )

    def on_hop_reply(self, message):
        """Answer the caller, or queue the lookup if the peer had no slot."""
        hop = self.hops.end(message.hop_id)
        if hop is None:
            return
        request = hop.request
        if message.status != NO_SLOT_AT_PEER:
            self._reply(request.request_id, message.status, message.body)
            self.drain_queue()
            return
        self.hops.was_full(hop.peer)
        self.ctx.count(Retry.LOOKUP_HOP)
        if request.deadline_ms <= self.ctx.now.wall_ms:
            self._refuse(request, Reason.DEADLINE)
        elif not self._send_here(request):
            self._wait_or_refuse(evolve(request, hopped=True))

    # Time --------------------------------------------------------------------

    def tick(self):
        """Refuse what has waited past its deadline; give up lost hops."""
        now_ms = self.ctx.now.wall_ms
        self._free_late()
        for request in self.queue.pop_expired(now_ms):
            self._refuse(request, Reason.DEADLINE)
        for hop in self.hops.end_expired():
            self.ctx.count(Reason.LOST)
            self._reply(hop.request.request_id, STATUS_UNKNOWN, b"", Reason.LOST)
        self.drain_queue()

    def _free_late(self):
        """Free the slots of lost lookups once the endpoint is surely done."""
        mono_ms = self.ctx.now.mono_ms
        for due in [due for due in self._late if due[0] <= mono_ms]:
            self._late.remove(due)
            due[1].lookups = max(0, due[1].lookups - 1)
            self.ctx.book.touch(due[1])

    def free_slots(self):
        """Return the free slots to tell peers of, by service."""
        if self.ctx.file is None or not self.ctx.may_send():
            return {}
        free = sum(view.free_slots for view in self.ctx.book.views.values())
        free -= len(self.queue)
        return {service.name: max(0, free) for service in self.ctx.file.services}
