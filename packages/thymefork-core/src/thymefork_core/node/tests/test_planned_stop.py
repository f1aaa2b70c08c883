"""What lookups get while an instance of their hall leaves as planned."""

import pytest

from thymefork_core.node import messages as m
from thymefork_core.reasons import Reason
from thymefork_standin.virtual import World

from .conftest import make_file

NAMES = ["h-1", "h-2", "h-3"]
SLOW_LINKS_MS = 30
EVERY_MS = 10
ROUNDS = 200
DEADLINE_MS = 1000


def ask_while_leaving(world, victim):
    """Stop an instance and keep asking the others; return the refused lookups."""
    world.tell(victim, m.StopSignal())
    others = [name for name in NAMES if name != victim]
    for index in range(ROUNDS):
        for name in others:
            request = m.LookupRequest(
                request_id=f"{name}/{index}",
                service="s",
                target="x",
                body=b"",
                deadline_ms=world.now_ms + DEADLINE_MS,
            )
            world.tell(name, request)
        world.run(EVERY_MS)
    world.run(2 * DEADLINE_MS)
    replies = {key: reply.reason for key, (reply,) in world.lookups.items()}
    assert len(replies) == ROUNDS * len(others)
    return replies


@pytest.mark.parametrize(
    ("seed", "victim"), [(2, "h-3"), (7, "h-3"), (8, "h-2"), (9, "h-2"), (0, "h-1")]
)
def test_a_lookup_passed_on_to_an_instance_that_leaves_is_not_lost(seed, victim):
    # Seen in "all instances of a hall are replaced one after the other under load": a
    # lookup was on its way to a peer that left before this hall knew that it would.
    world = World(
        file=make_file(workers=2), names=NAMES, seed=seed, latency_ms=SLOW_LINKS_MS
    )
    world.run(6000 + seed * 37)
    replies = ask_while_leaving(world, victim)
    lost = [key for key, reason in replies.items() if reason is Reason.LOST]
    assert victim not in world.nodes
    assert not lost, lost
