"""Close: forbid any further start of a piece of work."""

from attrs import frozen

from thymefork_core.reasons import Reason

__all__ = ["Close"]


@frozen(kw_only=True)
class Close:
    """Forbid any further start of a piece of work."""

    work_id: str
    tasks: int
    reason: Reason
