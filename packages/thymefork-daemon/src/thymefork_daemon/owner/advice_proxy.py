"""An instance that makes calls to the advice service for an owner."""

from attrs import define

__all__ = ["AdviceProxy", "is_wanted"]


@define(kw_only=True, eq=False)
class AdviceProxy:
    """Follow the call under way at an instance, if any; no link leads to the own one.

    Of a call that `is_withdrawn` the instance was told that nobody wants it.
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
        """Tell whether a call is under way that nobody wants any more."""
        return self.effect is not None and not is_wanted(self.effect)


def is_wanted(effect):
    """Tell whether somebody waits for the answer to a call."""
    return effect.step.job.is_live
