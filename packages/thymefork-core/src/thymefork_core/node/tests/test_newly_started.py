"""An instance that has just started hears its peers soon.

The story, from the scenario "An owner dies while the log is away", which failed once:
the lookup at instance 2 got 503 `no_slot`, since instance 2 owned no worker. Instance 1
had been started 0.9 s after it and did not hear it for 3.3 s (its `/report` called it
not live), so it took both workers after the 2.5 s that it waits. Instance 2 had no
link to it yet when it sent its whole heartbeat; the four that followed were short ones,
which say nothing to an instance that knows no whole one.

A scenario that kills the owner in those seconds finds the survivor without a worker,
and in an outage none can be claimed. The bound is the lease, by which a peer has to be
heard for its share to be left to it.
"""

from thymefork_core.peer import Beat
from thymefork_standin.virtual import World

from .conftest import make_file

# The longest wait between two tries to connect, and the heartbeat after it.
NO_LINK_MS = 1_300
HEARTBEAT_MS = 600


def start_without_a_link(first, second, no_link_ms):
    """Start two instances; `h-2` has no link to `h-1` at first: it backs off."""
    world = World(file=make_file(workers=2), names=[first])
    world.cut.add(("h-2", "h-1"))
    world.run(10)
    world.add(second)
    world.run(no_link_ms)
    world.cut.clear()
    return world


def test_a_peer_without_a_link_is_heard_with_its_first_heartbeat_after_it():
    world = start_without_a_link("h-2", "h-1", NO_LINK_MS)
    world.run(HEARTBEAT_MS + 100)
    context = world.nodes["h-1"].ctx
    live = [member.name for member in context.members.live(context.now.mono_ms)]
    assert live == ["h-2"]


def test_an_instance_takes_its_share_alone_though_the_peer_had_no_link():
    world = start_without_a_link("h-1", "h-2", NO_LINK_MS)
    world.run(2_000)
    owners = world.nodes["h-2"].ctx.ledger.state.owners.values()
    assert sorted(owner.split("~")[0] for owner in owners) == ["h-1", "h-2"]


def test_short_heartbeats_still_go_where_the_whole_one_was_heard(world):
    """They are what keeps idle links cheap: four of five."""
    heartbeats = world.nodes["h-1"].heartbeats
    choose, chosen = heartbeats._message, []

    def choose_and_note(name):
        chosen.append(choose(name))
        return chosen[-1]

    heartbeats._message = choose_and_note
    world.run(25 * HEARTBEAT_MS)
    short = sum(isinstance(message, Beat) for message in chosen)
    assert short >= 0.75 * len(chosen) > 0
