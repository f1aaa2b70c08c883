"""Routing of messages on limit parts between the owners of cells."""

from functools import singledispatch

from thymefork_cells import effects as fx
from thymefork_cells.specs import LimitParts
from thymefork_net.peers import PartsAsk, PartsGrant, PartsHold, PartsRow

from .owner_routes import OwnerRoutes

__all__ = ["LIMIT_PART_MESSAGES", "LimitPartRouter"]

LIMIT_PART_MESSAGES = (PartsAsk, PartsGrant, PartsHold)


class LimitPartRouter:
    """Deliver messages to a local owner, or send them to a peer's.

    Messages that cannot be sent are dropped and counted; their sender repeats them.
    """

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._routes = OwnerRoutes(daemon=daemon)

    def send(self, message):
        """Send a message to the owner of the cell that it is addressed to."""
        if message.to_cell in self._daemon.owners:
            # Deferred: the sender is still performing its own effects.
            self._daemon.timers.after(0.0, lambda: self._deliver(message))
            return
        link = self._routes.link_to(message.to_cell)
        if link is None:
            self._daemon.metrics.count("limit_parts_dropped", "no_link")
        elif not self._daemon.peers.supports_limit_parts(link.listener_address):
            self._daemon.metrics.count("limit_parts_dropped", "peer_moves_none")
        else:
            link.send(to_wire(message))

    def on_message(self, message):
        """Handle a peer's message."""
        self._deliver(from_wire(message))

    def _deliver(self, message):
        owner = self._daemon.owners.get(message.to_cell)
        if owner is None:
            self._daemon.metrics.count("limit_parts_dropped", "not_owned_here")
        else:
            owner.on_limit_part_message(message)


@singledispatch
def to_wire(message):
    """Return the peer message for a cell's message."""
    raise TypeError(f"{type(message).__name__} is not a limit part message")


@to_wire.register
def _ask_to_wire(ask: fx.RequestParts):
    return PartsAsk(
        account=ask.account,
        borrower=ask.borrower,
        borrower_epoch=ask.borrower_epoch,
        lender=ask.lender,
        least=_parts_to_wire(ask.least),
        most=_parts_to_wire(ask.most),
        since_epoch_ms=ask.since_epoch_ms,
        is_within=ask.is_within,
    )


@to_wire.register
def _grant_to_wire(grant: fx.GrantParts):
    return PartsGrant(
        account=grant.account,
        lender=grant.lender,
        lender_epoch=grant.lender_epoch,
        borrower=grant.borrower,
        borrower_epoch=grant.borrower_epoch,
        number=grant.number,
        parts=_parts_to_wire(grant.parts),
        free=_parts_to_wire(grant.free),
    )


@to_wire.register
def _hold_to_wire(hold: fx.ReportHeldParts):
    return PartsHold(
        account=hold.account,
        borrower=hold.borrower,
        borrower_epoch=hold.borrower_epoch,
        lender=hold.lender,
        lender_epoch=hold.lender_epoch,
        number=hold.number,
        parts=_parts_to_wire(hold.parts),
    )


@singledispatch
def from_wire(message):
    """Return the cell's message for a peer message."""
    raise TypeError(f"{type(message).__name__} is not a limit part message")


@from_wire.register
def _ask_from_wire(ask: PartsAsk):
    return fx.RequestParts(
        account=ask.account,
        borrower=ask.borrower,
        borrower_epoch=ask.borrower_epoch,
        lender=ask.lender,
        least=_parts_from_wire(ask.least),
        most=_parts_from_wire(ask.most),
        since_epoch_ms=ask.since_epoch_ms,
        is_within=ask.is_within,
    )


@from_wire.register
def _grant_from_wire(grant: PartsGrant):
    return fx.GrantParts(
        account=grant.account,
        lender=grant.lender,
        lender_epoch=grant.lender_epoch,
        borrower=grant.borrower,
        borrower_epoch=grant.borrower_epoch,
        number=grant.number,
        parts=_parts_from_wire(grant.parts),
        free=_parts_from_wire(grant.free),
    )


@from_wire.register
def _hold_from_wire(hold: PartsHold):
    return fx.ReportHeldParts(
        account=hold.account,
        borrower=hold.borrower,
        borrower_epoch=hold.borrower_epoch,
        lender=hold.lender,
        lender_epoch=hold.lender_epoch,
        number=hold.number,
        parts=_parts_from_wire(hold.parts),
    )


def _parts_to_wire(parts):
    cpu, memory, accelerators = parts.row
    return PartsRow(cpu=cpu, memory=memory, accelerators=accelerators)


def _parts_from_wire(row):
    return LimitParts(cpu=row.cpu, memory=row.memory, accelerators=row.accelerators)
