"""The thrift form of messages between entry instances."""

from functools import singledispatch

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from thymefork_core import peer as p
from thymefork_core.exceptions import ProtocolError
from thymefork_core.model import Answer, Outcome, Resources, WorkKind, WorkSpec
from thymefork_core.reasons import Reason

from .documents import decode_config_version, encode_config_version
from .gen import ttypes as t

__all__ = ["decode_envelope", "encode_envelope"]

_FACTORY = TCompactProtocolAcceleratedFactory()
_FIELDS = {
    p.Heartbeat: "heartbeat",
    p.Beat: "beat",
    p.Place: "place",
    p.PlaceReply: "place_reply",
    p.Commit: "commit",
    p.Release: "release",
    p.Join: "join",
    p.JoinReply: "join_reply",
    p.HopLookup: "hop_lookup",
    p.HopReply: "hop_reply",
    p.ConfigPull: "config_pull",
    p.ConfigPush: "config_push",
}


def encode_envelope(sender, message):
    """Return the bytes of a message and its sender."""
    body = t.Body(**{_FIELDS[type(message)]: _to_thrift(message)})
    return serialize(t.Envelope(sender=sender, body=body), _FACTORY)


def decode_envelope(data, peer=""):
    """Return the sender and the message that bytes hold.

    Raises: ProtocolError if they hold none.
    """
    try:
        envelope = deserialize(t.Envelope(), data, _FACTORY)
        for field in _FIELDS.values():
            value = getattr(envelope.body, field)
            if value is not None:
                return envelope.sender, _from_thrift(value)
    except Exception as failure:
        message = f"{len(data)} bytes are no message"
        raise ProtocolError(message, step="decode", peer=peer) from failure
    raise ProtocolError("an empty message", step="decode", peer=peer)


def _same_fields(cls, value, /, **changes):
    """Copy the fields that both forms share."""
    names = [a.name for a in cls.__attrs_attrs__ if a.name not in changes]
    return cls(**{name: getattr(value, name) for name in names}, **changes)


def _copy_to(cls, value, /, **changes):
    names = [a.name for a in type(value).__attrs_attrs__ if a.name not in changes]
    return cls(**{name: getattr(value, name) for name in names}, **changes)


@singledispatch
def _to_thrift(value):
    return _copy_to(getattr(t, type(value).__name__), value)


@_to_thrift.register
def _(value: p.Heartbeat):
    return _copy_to(
        t.Heartbeat,
        value,
        free=_to_thrift(value.free),
        largest_free=_to_thrift(value.largest_free),
    )


@_to_thrift.register
def _(value: WorkSpec):
    return _copy_to(
        t.WorkSpec, value, kind=str(value.kind), resources=_to_thrift(value.resources)
    )


@_to_thrift.register
def _(value: p.Place):
    items = [_to_thrift(item) for item in value.items]
    return _copy_to(t.Place, value, spec=_to_thrift(value.spec), items=items)


@_to_thrift.register
def _(value: Answer):
    reason = None if value.reason is None else str(value.reason)
    return _copy_to(t.Answer, value, outcome=str(value.outcome), reason=reason)


@_to_thrift.register
def _(value: p.JoinReply):
    return t.JoinReply(answer=_to_thrift(value.answer))


@_to_thrift.register
def _(value: p.ConfigPush):
    current = value.current
    document = encode_config_version(current)
    return t.ConfigPush(version=current.version, document=document)


@singledispatch
def _from_thrift(value):
    return _same_fields(getattr(p, type(value).__name__), value)


@_from_thrift.register
def _(value: t.Resources):
    return _same_fields(Resources, value)


@_from_thrift.register
def _(value: t.WorkSpec):
    return _same_fields(
        WorkSpec,
        value,
        kind=WorkKind(value.kind),
        resources=_from_thrift(value.resources),
    )


@_from_thrift.register
def _(value: t.Heartbeat):
    return _same_fields(
        p.Heartbeat,
        value,
        free=_from_thrift(value.free),
        largest_free=_from_thrift(value.largest_free),
        fenced=tuple(value.fenced),
    )


@_from_thrift.register
def _(value: t.Place):
    items = tuple(_from_thrift(item) for item in value.items)
    return _same_fields(p.Place, value, spec=_from_thrift(value.spec), items=items)


@_from_thrift.register
def _(value: t.PlaceReply):
    return _same_fields(p.PlaceReply, value, granted=tuple(value.granted))


@_from_thrift.register
def _(value: t.Answer):
    return _same_fields(
        Answer,
        value,
        outcome=Outcome(value.outcome),
        reason=None if value.reason is None else Reason(value.reason),
        exit_codes=tuple(value.exit_codes),
        workers=tuple(value.workers),
    )


@_from_thrift.register
def _(value: t.JoinReply):
    return p.JoinReply(answer=_from_thrift(value.answer))


@_from_thrift.register
def _(value: t.ConfigPush):
    return p.ConfigPush(current=decode_config_version(value.document))
