"""Commands to workers."""

from attrs import frozen

__all__ = ["PaceRun", "StartRun", "StopRun"]


@frozen(kw_only=True, eq=False)
class StartRun:
    """Start a run whose intent is stored."""

    run: object


@frozen(kw_only=True, eq=False)
class StopRun:
    """Stop a run, or prevent its start if that has not arrived yet."""

    run: object


@frozen(kw_only=True, eq=False)
class PaceRun:
    """Throttle a run to a percentage of its full speed."""

    run: object
    percent: int
