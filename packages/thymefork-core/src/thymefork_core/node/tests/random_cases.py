"""Cases of faults and works that a seed gives."""

import random

from . import test_random_faults as faults

KINDS = (
    "kill",
    "pause",
    "log_out",
    "log_out_all",
    "cut",
    "lose_append",
    "lose_start",
    "deaf",
    "closed",
    "late_start",
    "late_append",
)


def make_case(seed):
    """Return faults and works."""
    rng = random.Random(seed)
    chosen = []
    for _ in range(rng.randint(0, 6)):
        kind = rng.choice(KINDS)
        amount = rng.randint(1, 4) if "lose" in kind else rng.randint(50, 9000)
        at_ms = rng.randint(0, faults.SPAN_MS)
        chosen.append((at_ms, kind, rng.choice(faults.NAMES), amount))
    works = [
        (
            rng.randint(0, faults.SPAN_MS),
            rng.choice(faults.NAMES),
            rng.choice(list(faults.FIELDS)),
            rng.randint(20, 6000),
            rng.choice(["", "again", "cancel"]),
        )
        for _ in range(rng.randint(1, 20))
    ]
    return chosen, works


def run_case(seed):
    """Run a case and judge it."""
    chosen, works = make_case(seed)
    world, specs = faults.run_world(chosen, works, seed)
    asked_once = {f"work{i}" for i, w in enumerate(works) if w[-1] != "again"}
    faults.judge(world, specs, asked_once)
    return world
