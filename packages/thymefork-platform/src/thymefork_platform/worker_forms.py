"""What workers answer to the owner's calls."""

from attrs import Factory, frozen

from thymefork_core.node.messages import AttemptReport

__all__ = ["PollAnswer", "StartAnswer"]


@frozen(kw_only=True)
class StartAnswer:
    """Tell when starts were taken, on the worker's clock."""

    started_at_ms: int


@frozen(kw_only=True)
class PollAnswer:
    """Tell what runs, what ended, and how full the endpoint is."""

    measured_at_ms: int
    running: tuple[str, ...]
    finished: tuple[AttemptReport, ...]
    connections: int
    leaving: bool
    peak_memory_mb: dict[str, int] = Factory(dict)
