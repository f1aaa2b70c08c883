"""Messages between this instance and its peers."""

import xxhash

from thymefork_net import steady_ms
from thymefork_net.peers import (
    AdviceReply,
    AdviceRequest,
    CallerReply,
    CallerRequest,
    EndsHeard,
    Heartbeat,
    OwnedCell,
    WorkerTicket,
)

from .limit_part_router import LIMIT_PART_MESSAGES
from .member_statuses import MemberStatuses
from .owner_watch import OWNER_HEARTBEAT_MS, OwnerWatch

__all__ = ["PeerDispatcher"]

# Links of a group member beside those to owners. They distinguish a silent owner
# from a network partition of its own. Others evict nobody and need none.
NEIGHBOUR_LINKS = 3
# How often the group is read while too few members are known; a new member may have
# read it before the others joined.
FIND_NEIGHBOURS_PERIOD_MS = 2_000.0
# Upper bound for the answer to a leave, also from a slow store.
MAX_LEAVE_MS = 600.0


class PeerDispatcher:
    """Send heartbeats, keep links open, and dispatch peers' messages."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self.member_statuses = MemberStatuses()
        self._member_links = set()
        self._new_member_links = set()
        self._owned_by_link = {}
        self._released_ms = {}
        self._without_store = set()
        self._leaving = set()
        self._supporting_parts = set()
        self._open_advice_calls = set()
        self._neighbours_due_ms = 0.0
        self._owner_watch = None
        daemon.timers.every(OWNER_HEARTBEAT_MS, self._on_owner_heartbeat_due)

    def send_heartbeats(self):
        """Send all peers a heartbeat with the cells that are owned here."""
        message = self._heartbeat()
        for link in self._daemon.links.all:
            link.send(message)
        self._keep_links()

    @property
    def member_links(self):
        """Return one link to each group member, any of which may own a cell next."""
        links = {link.listener_address: link for link in self._member_links}
        return list(links.values())

    def _on_owner_heartbeat_due(self):
        if self._daemon.membership.in_group and self._owner_watch is None:
            self._owner_watch = OwnerWatch(daemon=self._daemon)
        self._send_owner_heartbeat()

    def _send_owner_heartbeat(self):
        """Send an owner's heartbeat to the group members, which may take over."""
        if not self._daemon.owners:
            return
        message = self._heartbeat()
        message.speeds = self._daemon.learned_speeds.take_unannounced()
        new_member_links, self._new_member_links = self._new_member_links, set()
        for link in list(self._member_links):  # a link that breaks is removed
            link.send(
                self._first_heartbeat_to_member()
                if link in new_member_links
                else message
            )

    def _first_heartbeat_to_member(self):
        """Return the first heartbeat to a member, with all that others were told."""
        message = self._heartbeat()
        message.speeds = self._daemon.learned_speeds.of_owned_cells()
        message.lease_notices = self._daemon.lease_notices.messages_of_owned_cells()
        return message

    def send_to_members(self, lease_notices):
        """Send notices about leases to the group members, which may take over."""
        for link in self.member_links:
            self.send_lease_notices(link, lease_notices)

    def send_lease_notices(self, link, lease_notices):
        """Send notices about leases to a peer, in a heartbeat of their own."""
        message = self._heartbeat()
        message.lease_notices = lease_notices
        link.send(message)

    def _heartbeat(self):
        owned = [
            OwnedCell(cell=cell, epoch=owner.epoch)
            for cell, owner in self._daemon.owners.items()
            if owner.is_serving
        ]
        current = self._daemon.configuration
        membership = self._daemon.membership
        best_tier = self._daemon.handover.best_tier()
        return Heartbeat(
            owned=owned,
            config_version=current.version if current is not None else 0,
            leaving=self._daemon.is_stopping,
            in_group=membership.in_group,
            store_lost=membership.store_lost,
            tier=int(self._daemon.capacity.tier),
            load_percent=self._daemon.owner_load.load.percent,
            best_tier=int(best_tier) if best_tier is not None else None,
            join_ms=round(membership.round_trip_ms) if membership.in_group else None,
            moves_parts=True,
        )

    def _keep_links(self):
        """Keep a link to each owner, over which it can request advice."""
        for cell in range(self._daemon.layout.cells):
            if cell in self._daemon.owners:
                continue
            address = self._daemon.directory.owner_of(cell)
            if address is None or address == self._daemon.settings.peer:
                self._daemon.directory.refresh()
            else:
                self._daemon.links.open_link(address)
        if self._daemon.membership.in_group:
            self._keep_neighbours()

    def _keep_neighbours(self):
        """Keep links to a few other members, chosen by hash so that choices differ."""
        own = self._daemon.settings.peer
        others = self._daemon.directory.members - {own}
        if len(others) < NEIGHBOUR_LINKS and steady_ms() >= self._neighbours_due_ms:
            self._neighbours_due_ms = steady_ms() + FIND_NEIGHBOURS_PERIOD_MS
            self._daemon.directory.refresh()
        ranked = sorted(
            others, key=lambda other: xxhash.xxh32_intdigest(f"{own}|{other}".encode())
        )
        for address in ranked[:NEIGHBOUR_LINKS]:
            self._daemon.links.open_link(address)

    def on_message(self, link, message):
        """Dispatch a peer's message to the component that handles it."""
        if isinstance(message, Heartbeat):
            self._on_heartbeat(link, message)
        elif isinstance(message, CallerRequest):
            self._daemon.gateway.on_caller_request(link, message)
        elif isinstance(message, CallerReply):
            self._daemon.gateway.on_caller_reply(message)
        elif isinstance(message, AdviceRequest):
            self._on_advice_request(link, message)
        elif isinstance(message, AdviceReply):
            self._on_advice_reply(message)
        elif isinstance(message, EndsHeard):
            self._daemon.heard_end_buffer.on_message(message)
        elif isinstance(message, LIMIT_PART_MESSAGES):
            self._daemon.limit_part_router.on_message(message)
        else:
            self._on_links_changed()

    def has_store(self, address):
        """Return whether the instance at an address has not lost the store."""
        return address not in self._without_store

    def supports_limit_parts(self, address):
        """Return whether the instance at an address supports limit parts."""
        return address in self._supporting_parts

    def is_leaving(self, address):
        """Return whether the instance at an address was asked to stop."""
        return address in self._leaving

    def _on_heartbeat(self, link, message):
        address = link.listener_address
        self.member_statuses.on_heartbeat(address, message)
        if message.leaving:
            self._leaving.add(address)
        else:
            self._leaving.discard(address)
        if message.store_lost:
            self._without_store.add(address)
        else:
            self._without_store.discard(address)
        if message.moves_parts:
            self._supporting_parts.add(address)
        else:
            self._supporting_parts.discard(address)
        if message.in_group:
            self._new_member_links |= {link} - self._member_links
            self._member_links.add(link)
        else:
            self._member_links.discard(link)  # it may be on standby again
        self._daemon.owned_cells.on_peer_ownership(message.owned)
        self._daemon.gateway.on_heartbeat(link, message)
        for call_id in message.withdrawn_calls or ():
            self._open_advice_calls.discard((link, call_id))
        for learned in message.speeds or ():
            self._daemon.learned_speeds.on_message(learned)
        for notice in message.lease_notices or ():
            self._daemon.lease_notices.on_message(notice)
        for owned in message.owned:
            cell, epoch = owned.cell, owned.epoch
            self._daemon.heard_end_buffer.forward_to_owner(link, cell, epoch)
            self._daemon.lease_notices.forward_to_owner(link, cell, epoch)
        if self._owner_watch is not None:
            self._owner_watch.on_heartbeat(link, message)
        owned = {owned.cell for owned in message.owned}
        has_released = bool(self._owned_by_link.get(link, set()) - owned)
        if has_released:
            self._released_ms[link] = steady_ms()
        has_left = message.leaving and not owned
        if has_released or has_left or self._is_leaving_group(link, message):
            # A cell was released; the next join assigns it to its new owner.
            self._daemon.membership.join_now()
        self._owned_by_link[link] = owned

    def withdraw_advice(self, link, call_ids):
        """Notify an instance that the answers to some calls are no longer needed.

        Skipped with a single cell, whose calls do not wait for those of other owners.
        """
        if self._daemon.layout.cells < 2:
            return
        message = self._heartbeat()
        message.withdrawn_calls = call_ids
        link.send(message)

    def _is_leaving_group(self, link, message):
        """Return whether a peer that released a cell has probably left the group.

        It reports that it owns nothing as it decides to leave, and again once the store
        has executed the leave; only after that can a join assign the cell.
        """
        released_ms = self._released_ms.get(link, float("-inf"))
        return not message.in_group and steady_ms() - released_ms < MAX_LEAVE_MS

    def _on_advice_request(self, link, message):
        call = (link, message.call_id)
        self._open_advice_calls.add(call)

        def answer(tickets, valid_ms):
            self._open_advice_calls.discard(call)
            rows = [
                WorkerTicket(worker_id=worker_id, ticket=text)
                for worker_id, text in (tickets or {}).items()
            ]
            link.send(
                AdviceReply(
                    call_id=message.call_id,
                    answered=tickets is not None,
                    tickets=rows,
                    valid_ms=int(valid_ms),
                )
            )

        self._daemon.advice.ask(
            step_name=message.step,
            worker_ids=message.workers,
            timeout_ms=message.patience_ms,
            wanted=lambda: call in self._open_advice_calls,
            done=answer,
        )

    def _on_advice_reply(self, message):
        """Pass an answer to the owner that asked; count one that nobody waits for."""
        # Handling an answer may lose the cell, and so change the owners.
        owners = list(self._daemon.owners.values())
        if not any(owner.on_advice_reply(message) for owner in owners):
            self._daemon.metrics.count("odd_answers", "advice_not_awaited")

    def on_link_broken(self, link):
        """Reroute what used a link that broke."""
        self._member_links.discard(link)
        self._new_member_links.discard(link)
        self.member_statuses.forget(link.listener_address)
        self._owned_by_link.pop(link, None)
        self._released_ms.pop(link, None)
        self._daemon.gateway.on_link_broken(link)
        if link.was_refused:
            self._daemon.directory.remove_dead(link.address)
        if link.address is not None:
            for cell in range(self._daemon.layout.cells):
                if self._daemon.directory.owner_of(cell) == link.address:
                    self._daemon.directory.forget(cell, link.address)
        self._daemon.membership.join_now()
        if link.connected and link.address is not None:
            # Reconnecting shows at once if the process is gone: it is refused.
            self._daemon.links.open_link(link.address)
        self._on_links_changed()

    def _on_links_changed(self):
        for owner in list(self._daemon.owners.values()):  # owners may be lost here
            owner.on_links_changed()
