"""Encoding of the messages between instances."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from thymefork_core.exceptions import ProtocolError

from .gen import ttypes

__all__ = ["decode", "encode"]

_FACTORY = TCompactProtocolAcceleratedFactory()
_FIELDS = {
    ttypes.Hello: "hello",
    ttypes.Heartbeat: "heartbeat",
    ttypes.CallerRequest: "caller_request",
    ttypes.CallerReply: "caller_reply",
    ttypes.AdviceRequest: "advice_request",
    ttypes.AdviceReply: "advice_reply",
    ttypes.EndsHeard: "ends_heard",
    ttypes.PartsAsk: "parts_ask",
    ttypes.PartsGrant: "parts_grant",
    ttypes.PartsHold: "parts_hold",
}


def encode(message):
    """Encode a message."""
    envelope = ttypes.Envelope(**{_FIELDS[type(message)]: message})
    return serialize(envelope, _FACTORY)


def decode(data, *, peer):
    """Decode a message.

    Raises: ProtocolError if the bytes are not a message of a known type.
    """
    try:
        envelope = deserialize(ttypes.Envelope(), data, _FACTORY)
    except Exception as failure:
        text = f"can't decode a message of {len(data)} bytes"
        raise ProtocolError(text, step="decode", peer=peer) from failure
    for name in _FIELDS.values():
        message = getattr(envelope, name)
        if message is not None:
            return message
    raise ProtocolError("message of unknown type", step="decode", peer=peer)
