"""What an owner still has open at a worker that it gave away and got back."""

from thymefork_core.ledger import Handover
from thymefork_core.node import messages as m


def test_own_open_streams_count_again_when_a_worker_comes_back(world):
    """They were counted by nobody: not held elsewhere, and the view was new."""
    world.take_ms = 60_000
    request = m.LookupRequest(
        request_id="stream",
        service="s",
        target="x",
        body=b"",
        deadline_ms=world.now_ms + 10**6,
        stream=True,
    )
    world.tell("h-1", request)
    first, second = world.nodes["h-1"], world.nodes["h-2"]
    worker = first.router.running["stream"].worker
    entry = Handover(worker=worker, to="h-2~1", held_connections=1)
    first.ctx.record(entry)
    world.run(300)
    assert second.ctx.book.get(worker).held_connections == 1
    second.ctx.record(Handover(worker=worker, to="h-1~1"))
    world.run(300)
    view = first.ctx.book.get(worker)
    assert (view.streams, view.free_connections) == (1, 63)
