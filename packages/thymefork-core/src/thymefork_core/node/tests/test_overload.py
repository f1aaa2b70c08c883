"""Lookups at three times what the slots hold, on virtual time."""

from thymefork_core.node import messages as m

SLOTS = 24
TAKE_MS = 400
SPAN_MS = 8000


def run_load(world, rate_per_s):
    world.take_ms = TAKE_MS
    names = list(world.nodes)
    count = rate_per_s * SPAN_MS // 1000
    for index in range(count):
        request_id = f"q{index}"

        def ask(index=index, request_id=request_id):
            message = m.LookupRequest(
                request_id=request_id,
                service="s",
                target="x",
                body=b"",
                deadline_ms=world.now_ms + 1000,
            )
            world.tell(names[index % len(names)], message)

        world.after(index * 1000 // rate_per_s, ask)
    world.run(SPAN_MS + 3000)
    replies = [world.lookups[f"q{index}"] for index in range(count)]
    assert all(len(reply) == 1 for reply in replies)
    return [reply[0].status for reply in replies]


def test_goodput_holds_at_three_times_overload(world):
    """Lookups were sent too late to be answered; goodput fell to 0.22 of the peak's."""
    capacity = SLOTS * SPAN_MS // TAKE_MS
    statuses = run_load(world, 3 * SLOTS * 1000 // TAKE_MS)
    assert statuses.count(200) >= 0.9 * capacity
    assert statuses.count(504) <= 0.02 * len(statuses)
    assert all(w.most_lookups <= 8 for w in world.workers.values())
