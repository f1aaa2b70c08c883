"""Policy: weigh waiting time, packing and control cost for a class of work."""

from attrs import field, frozen, validators

from ..work import WorkKind

__all__ = ["Policy"]

_positive = validators.ge(1)


@frozen(kw_only=True)
class Policy:
    """Weigh waiting time, packing and control cost for a class of work."""

    kind: WorkKind
    waiting_weight: float = field(validator=validators.ge(0))
    packing_weight: float = field(validator=validators.ge(0))
    control_weight: float = field(validator=validators.ge(0))
    max_attempts: int = field(default=3, validator=_positive)
