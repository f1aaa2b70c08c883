"""Detect steps that are starved on the few workers that their policy allows."""

__all__ = ["starved_ms"]

# A step with at most this many allowed workers can hardly run elsewhere. It counts as
# starved after this wait.
FEW_WORKERS = 2
STARVED_MS = 1_500.0


def starved_ms(step, now_ms):
    """Return how long a step has been starved on its few workers, 0 if it is not.

    A starved step precedes steps of its priority that are due sooner. Otherwise these
    would always take its few workers, although they may run on others.
    """
    if step.allowed is None or len(step.allowed) > FEW_WORKERS or not step.ready:
        return 0.0
    if any(task.runs for task in step.tasks):
        return 0.0
    waited_ms = step.longest_wait_ms(now_ms)
    return waited_ms if waited_ms > STARVED_MS else 0.0
