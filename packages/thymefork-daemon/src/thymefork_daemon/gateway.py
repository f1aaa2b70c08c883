"""Forwarding of callers' requests to the owners of their cells."""

from itertools import count

from loguru import logger

from thymefork_cells import cell_of, effects as fx
from thymefork_net import steady_ms

from .caller_messages import read_reply, reply_message, request_message
from .owner_ref import OwnerRef
from .owner_routes import OwnerRoutes
from .pending_request import PendingRequest
from .queue_count import QueueCount

__all__ = ["Gateway"]

# How long a request waits for its cell's owner to become known before it is refused;
# short enough that the caller can still retry within its deadline.
FIND_OWNER_MS = 350.0
RETRY_PERIOD_MS = 50.0
# A request whose outcome is unknown must not be reported as refused, so it waits
# longer: until the next owner serves, also where the membership has to lapse first.
FIND_NEXT_OWNER_MS = 1_600.0
# Poll period for pending requests of cells that have since come to this instance.
OWN_CELLS_CHECK_MS = 100.0
# Typical duration of a takeover.
NO_OWNER_RETRY_MS = 1_000


class Gateway:
    """Forward requests, and resend them to the cell's next owner while time is left.

    Owners deduplicate requests by job id, so an instance may send one again to the next
    owner.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._routes = OwnerRoutes(daemon=daemon)
        self._call_ids = count(1)
        self._pending = {}
        self._pending_by_earlier_call_id = {}
        daemon.timers.every(OWN_CELLS_CHECK_MS, self._resend_to_own_cells)

    def request(
        self, kind, queue, job_id, data, deadline_ms, respond, *, account_name=""
    ):
        """Send a request to the owner of its job's cell."""
        cells = self._daemon.layout.cells
        if not cells:
            self._refuse(respond, "layout_unknown")
            return
        if kind == "count":
            QueueCount(cells=cells, respond=respond).ask(self, queue, deadline_ms)
            return
        cell = cell_of(job_id, cells)
        self.request_at(
            cell,
            kind,
            queue,
            job_id,
            data,
            deadline_ms,
            respond,
            account_name=account_name,
        )

    def request_at(
        self, cell, kind, queue, job_id, data, deadline_ms, respond, *, account_name=""
    ):
        """Send a request to the owner of a given cell."""
        call_id = next(self._call_ids)
        pending = PendingRequest(
            kind=kind,
            queue=queue,
            job_id=job_id,
            data=data,
            cell=cell,
            account_name=account_name,
            respond=respond,
            find_until_ms=steady_ms() + FIND_OWNER_MS,
            deadline_ms=deadline_ms,
        )
        self._pending[call_id] = pending
        self._send(call_id)

    @property
    def open_requests(self):
        """Return how many requests wait for a reply."""
        return len(self._pending)

    def _refuse(self, respond, reason):
        self._daemon.metrics.count("refusals", reason)
        reply = fx.Reply(
            reply_to=None,
            outcome=fx.Outcome.REFUSED,
            retry_after_ms=NO_OWNER_RETRY_MS,
        )
        respond(reply)

    # Sending -----------------------------------------------------------------

    def _send(self, call_id):
        pending = self._pending.get(call_id)
        if pending is None:
            return
        owner = self._routes.local_owner(pending.cell)
        if owner is not None:
            self._send_to_local_owner(call_id, pending, owner)
            return
        link = self._routes.link_to(pending.cell)
        if link is not None:
            self._send_on_link(call_id, pending, link)
        else:
            self._await_owner(call_id, pending)

    # The timeout is set before a request is sent: sending may break the link or find
    # that the owner is gone, and then schedules the next attempt itself.

    def _send_to_local_owner(self, call_id, pending, owner):
        pending.link = None
        pending.target = self._routes.local_ref(pending.cell, owner)
        pending.open_attempts.add(call_id)
        self._await_reply(call_id, pending)
        owner.request(
            pending.kind,
            pending.queue,
            pending.job_id,
            pending.data,
            lambda reply: self._on_reply(call_id, reply),
            account_name=pending.account_name,
            timeout_ms=pending.left_ms(),
        )

    def _send_on_link(self, call_id, pending, link):
        pending.link = link
        pending.target = self._routes.remote_ref(pending.cell, link)
        pending.open_attempts.add(call_id, link)
        self._await_reply(call_id, pending)
        link.send(request_message(call_id, pending))

    def _await_reply(self, call_id, pending):
        action = lambda: self._give_up(call_id, "no_reply")
        self._set_timer(pending, pending.left_ms(), action)

    def _await_owner(self, call_id, pending):
        cannot_find_owner = (
            not pending.open_attempts and self._daemon.readiness.is_disconnected
        )
        if steady_ms() < pending.find_until_ms and not cannot_find_owner:
            self._set_timer(pending, RETRY_PERIOD_MS, lambda: self._send(call_id))
        else:
            self._give_up(call_id, "no_owner")

    def _retry_later(self, call_id, pending):
        """Retry after a short delay, in which the owner may become known."""
        action = lambda: self._retry_unless_expired(call_id)
        self._set_timer(pending, RETRY_PERIOD_MS, action)

    def _retry_unless_expired(self, call_id):
        pending = self._pending.get(call_id)
        if pending is None:
            return
        if steady_ms() < pending.find_until_ms:
            self._send(call_id)
        else:
            self._give_up(call_id, "no_owner")

    def _set_timer(self, pending, delay_ms, action):
        """Replace the request's only timer."""
        self._daemon.timers.cancel(pending.timer_id)
        pending.timer_id = self._daemon.timers.after(max(0.0, delay_ms), action)

    # Completion --------------------------------------------------------------

    def _on_reply(self, call_id, reply):
        pending = self._pending.get(call_id)
        if pending is None:
            self._on_late_reply(call_id, reply)
            return
        if reply.outcome == fx.Outcome.NOT_OWNER:
            pending.open_attempts.on_not_owner(call_id)
            pending.target = None
            self._routes.forget(pending.cell, pending.link)
            self._retry_later(call_id, pending)
            return
        self._finish(call_id, reply)

    def _on_late_reply(self, call_id, reply):
        """Use a late reply only to note that the instance was not the owner."""
        pending = self._pending_by_earlier_call_id.get(call_id)
        if pending is not None and reply.outcome == fx.Outcome.NOT_OWNER:
            pending.open_attempts.on_not_owner(call_id)

    def _give_up(self, call_id, reason):
        pending = self._pending.get(call_id)
        if pending is None:
            return
        outcome = (
            fx.Outcome.IN_DOUBT if pending.is_outcome_unknown else fx.Outcome.REFUSED
        )
        self._daemon.metrics.count("refusals", reason)
        logger.bind(
            event="request_given_up",
            job=pending.job_id,
            kind=pending.kind,
            cell=pending.cell,
            reason=reason,
            outcome=str(outcome),
        ).info("request given up: no owner answered or none was found")
        reply = fx.Reply(
            reply_to=None, outcome=outcome, retry_after_ms=NO_OWNER_RETRY_MS
        )
        self._finish(call_id, reply)

    def _finish(self, call_id, reply):
        pending = self._pending.pop(call_id)
        for earlier_call_id in pending.earlier_call_ids:
            self._pending_by_earlier_call_id.pop(earlier_call_id, None)
        self._daemon.timers.cancel(pending.timer_id)
        pending.respond(reply)

    # Messages ----------------------------------------------------------------

    def on_caller_reply(self, message):
        """Handle the owner's reply to a forwarded request."""
        self._on_reply(message.call_id, read_reply(message))

    def on_caller_request(self, link, message):
        """Serve a request that another instance has forwarded."""
        respond = lambda reply: link.send(reply_message(message.call_id, reply))
        owner = self._daemon.owners.get(message.cell)
        if owner is None:
            respond(fx.Reply(reply_to=None, outcome=fx.Outcome.NOT_OWNER))
            return
        owner.request(
            message.kind,
            message.queue,
            message.job_id,
            message.body,
            respond,
            account_name=message.account_name or "",
            timeout_ms=message.patience_ms or 0,
        )

    def on_link_broken(self, link):
        """Retry the requests that were sent on a link at the cell's next owner."""
        for call_id, pending in list(self._pending.items()):
            if pending.open_attempts.on_link_broken(link):
                self._daemon.metrics.count("retries", "request_never_left")
            if pending.link is link:
                self._routes.forget(pending.cell, link)
                pending.link = pending.target = None
                pending.find_until_ms = self._find_until(pending)
                self._retry_later(call_id, pending)

    def _find_until(self, pending):
        """Return until when the next owner of a cell is looked for."""
        if pending.kind in ("submit", "cancel"):
            find_ms = FIND_NEXT_OWNER_MS
        else:
            find_ms = FIND_OWNER_MS
        return min(pending.deadline_ms, steady_ms() + find_ms)

    def on_heartbeat(self, link, message):
        """Record the owners that a heartbeat names, and resend requests to them."""
        address = link.listener_address
        if address is None:
            return
        for owned in message.owned:
            if self._daemon.directory.record_owner(owned.cell, address, owned.epoch):
                owner = OwnerRef(cell=owned.cell, address=address, epoch=owned.epoch)
                self._resend_to_new_owner(owner)

    def _resend_to_own_cells(self):
        """Resend pending requests for cells that have since come to this instance."""
        for cell in list(self._daemon.owners):
            owner = self._routes.local_owner(cell)
            if owner is not None:
                self._resend_to_new_owner(self._routes.local_ref(cell, owner))

    def _resend_to_new_owner(self, owner):
        """Resend a cell's pending requests to its new owner at once.

        The requests get new call ids: late replies of the previous owner are outdated,
        and a refusal among them may no longer be true.
        """
        for call_id, pending in list(self._pending.items()):
            pending.update_epoch(owner)
            if not pending.needs_resend_to(owner):
                continue
            if self._pending.pop(call_id, None) is None:
                continue  # completed meanwhile by a broken link
            new_id = next(self._call_ids)
            self._pending[new_id] = pending
            self._pending_by_earlier_call_id[call_id] = pending
            pending.earlier_call_ids.append(call_id)
            self._daemon.metrics.count("retries", "owner_changed")
            self._send(new_id)
