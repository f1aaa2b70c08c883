"""An instance that calls the advice service on behalf of an owner."""

from attrs import define

__all__ = ["AdviceProxy", "is_wanted"]


@define(kw_only=True, eq=False)
class AdviceProxy:
    """Hold the call in flight at an instance, if any.

    `link` is None for the local instance. `is_withdrawn` is true once the instance was
    told that the call is no longer wanted.
    """

    name: str
    link: object = None
    effect: object = None
    call_id: int = 0
    timer_id: int = 0
    paused_until_ms: float = 0.0
    is_withdrawn: bool = False

    @property
    def is_unwanted(self):
        """Return whether the call in flight is no longer wanted."""
        return self.effect is not None and not is_wanted(self.effect)


def is_wanted(effect):
    """Return whether the job of a call still needs the answer."""
    return effect.step.job.is_live
