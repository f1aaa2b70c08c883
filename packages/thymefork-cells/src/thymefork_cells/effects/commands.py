"""Orders to workers."""

from attrs import frozen

__all__ = ["PaceRun", "StartRun", "StopRun"]


@frozen(kw_only=True, eq=False)
class StartRun:
    """Start a run whose intent is stored."""

    run: object


@frozen(kw_only=True, eq=False)
class StopRun:
    """Stop a run, or forbid it if it was not carried out yet."""

    run: object


@frozen(kw_only=True, eq=False)
class PaceRun:
    """Let a run work at a share of its speed, in percent."""

    run: object
    percent: int
