"""The one final answer of a request."""

from enum import StrEnum

from attrs import frozen

from thymefork_core.reasons import Reason

__all__ = ["Answer", "Outcome"]


class Outcome(StrEnum):
    """Name the three kinds of final answers."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Answer:
    """Tell a caller what became of a piece of work.

    Units: `come_back_at_ms` is milliseconds since the epoch; 0 where coming back
    would not help.
    """

    work_id: str
    outcome: Outcome
    reason: Reason | None = None
    come_back_at_ms: int = 0
    exit_codes: tuple[int, ...] = ()
    workers: tuple[str, ...] = ()
