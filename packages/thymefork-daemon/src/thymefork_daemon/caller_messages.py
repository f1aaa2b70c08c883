"""Conversion of callers' requests and replies to and from peer messages."""

from thymefork_cells import effects as fx
from thymefork_net.peers import CallerReply, CallerRequest

__all__ = ["read_reply", "reply_message", "request_message"]


def request_message(call_id, pending):
    """Return the message that forwards a request to its cell's owner."""
    return CallerRequest(
        call_id=call_id,
        cell=pending.cell,
        kind=pending.kind,
        queue=pending.queue,
        job_id=pending.job_id,
        body=pending.data,
        account_name=pending.account_name,
        patience_ms=round(pending.left_ms()),
    )


def reply_message(call_id, reply):
    """Return the message that carries an owner's reply to the forwarding instance."""
    return CallerReply(
        call_id=call_id,
        outcome=str(reply.outcome),
        state=reply.state,
        count=reply.count,
        retry_after_ms=reply.retry_after_ms,
    )


def read_reply(message):
    """Return the reply that a message carries."""
    return fx.Reply(
        reply_to=None,
        outcome=fx.Outcome(message.outcome),
        state=message.state,
        count=message.count,
        retry_after_ms=message.retry_after_ms,
    )
