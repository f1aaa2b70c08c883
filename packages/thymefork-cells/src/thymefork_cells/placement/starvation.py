"""Steps that run nothing since others take the few workers that they may use."""

__all__ = ["starved_ms"]

# A step whose policy allows at most so many workers has nowhere else to go. After so
# long a wait it takes its turn there: half of what callers would take for a standstill.
FEW_WORKERS = 2
STARVED_MS = 1_500.0


def starved_ms(step, now_ms):
    """Return how long a step has run nothing for want of its few workers, 0 for most.

    A starved step goes before steps of its priority that are due sooner: those mostly
    have other workers to go to, or wait once. Without that, they would take each piece
    of room on its few workers for as long as they come, with room free elsewhere.
    """
    if step.allowed is None or len(step.allowed) > FEW_WORKERS or not step.ready:
        return 0.0
    if any(task.runs for task in step.tasks):
        return 0.0
    waited_ms = step.longest_wait_ms(now_ms)
    return waited_ms if waited_ms > STARVED_MS else 0.0
