"""Calls to the advice service, spread over the instances."""

from types import SimpleNamespace

from thymefork_cells.effects import RequestAdvice
from thymefork_daemon.owner import (
    AdviceDispatcher,
    advice_dispatcher as dispatcher_module,
)

from .fakes import FakeMetrics

CLOCK_MODULES = (dispatcher_module,)

NAMES = [f"edge-{number}" for number in range(10)]


class FakeLink:
    def __init__(self, name):
        self.peer = SimpleNamespace(instance=name)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class FakeAdviceClient:
    """Take this instance's own calls and leave them unanswered."""

    def __init__(self):
        self.asked = []
        self.wanted = []

    def ask(self, *, step_name, worker_ids, patience_ms, done, wanted):
        self.asked.append(step_name)
        self.wanted.append(wanted)


def make_dispatcher(
    timers,
    links,
    run_cycle,
    on_answer=lambda *answer: None,
    instance="edge-own",
    client=None,
    notify_withdrawn=lambda link, call_ids: None,
):
    dispatcher = AdviceDispatcher(
        client=client or FakeAdviceClient(),
        timers=timers,
        metrics=FakeMetrics(),
        instance=instance,
        run_cycle=run_cycle,
        on_answer=on_answer,
        notify_withdrawn=notify_withdrawn,
    )
    dispatcher.update(links)
    return dispatcher


def long_call(name="s", cost_ms=900.0):
    step = SimpleNamespace(name=name, job=SimpleNamespace(is_live=True))
    return RequestAdvice(step=step, worker_ids=("w",), cost_ms=cost_ms, priority=1)


def record_steps(names):
    """Return a taker of answers that notes which steps they are for."""
    return lambda step, *answer: names.append(step.name)


def reply_to(message):
    ticket = SimpleNamespace(worker_id="w", ticket="t")
    return SimpleNamespace(
        call_id=message.call_id, answered=True, tickets=[ticket], valid_ms=2_000
    )


def test_two_owners_begin_with_different_instances(timers):
    """From cab-bogota-grown, scale-2: a harvest waited 12 s for its tickets (LOST)."""
    links = [FakeLink(name) for name in NAMES]
    for run_cycle in (0.0, 0.5):
        dispatcher = make_dispatcher(timers, links, run_cycle)
        for _ in range(4):
            dispatcher.ask(long_call())
    assert max(len(link.sent) for link in links) == 1


def test_a_call_waits_for_another_owners_call_at_the_same_instance(timers):
    links = [FakeLink("edge-0")]
    dispatcher = make_dispatcher(timers, links, 0.0)
    dispatcher.ask(long_call())
    dispatcher.ask(long_call())
    timers.run(2 * 900)  # both calls of two owners, one after the other
    assert len(links[0].sent) == 1


def test_a_call_of_the_last_queue_is_made_though_urgent_ones_never_cease(timers):
    """From an overload by one kind of request: a step was never asked for (LOST)."""
    links = [FakeLink(name) for name in NAMES]
    dispatcher = make_dispatcher(timers, links, 0.0)
    for _ in range(20):
        dispatcher.ask(long_call())
    step = SimpleNamespace(name="late", job=SimpleNamespace(is_live=True))
    dispatcher.ask(
        RequestAdvice(step=step, worker_ids=("w",), cost_ms=900.0, priority=2)
    )
    for _ in range(12):
        timers.run(250)
        dispatcher.ask(long_call())
        for link in links:
            if link.sent:
                reply = SimpleNamespace(
                    call_id=link.sent[-1].call_id,
                    answered=True,
                    tickets=[],
                    valid_ms=2_000,
                )
                dispatcher.on_reply(reply)
                dispatcher.ask(long_call())
    asked = [message.step for link in links for message in link.sent]
    assert "late" in asked


def test_an_answer_is_taken_by_the_owner_that_asked(timers):
    """From a review: one instance owns two cells, and each answer goes to both."""
    link = FakeLink("edge-0")
    taken = {"one": [], "two": []}
    owners = {
        name: make_dispatcher(timers, [link], 0.0, record_steps(steps), "edge-9")
        for name, steps in taken.items()
    }
    for name, dispatcher in owners.items():
        dispatcher.ask(long_call(f"step-of-{name}"))
    first, _ = link.sent
    for dispatcher in owners.values():
        dispatcher.on_reply(reply_to(first))
    assert taken == {"one": ["step-of-one"], "two": []}


def test_an_answer_to_a_former_ownership_is_not_taken_by_the_next(timers):
    """From a review: the cell was lost and regained, and call ids began anew."""
    link, answers = FakeLink("edge-0"), []
    former = make_dispatcher(timers, [link], 0.0, instance="edge-9")
    former.ask(long_call("former"))
    following = make_dispatcher(
        timers, [link], 0.0, lambda *row: answers.append(row), "edge-9"
    )
    following.ask(long_call("following"))
    following.on_reply(reply_to(link.sent[0]))
    assert not answers


def test_what_waits_does_not_go_to_the_link_that_just_broke(timers):
    """From a review: an adviser was failed, and so free, before it was forgotten."""
    links = [FakeLink("edge-0"), FakeLink("edge-1"), FakeLink("edge-2")]
    answered = []
    dispatcher = make_dispatcher(timers, links, 0.0, record_steps(answered))
    for name in "abc":  # two of the four instances take long calls: the third waits
        dispatcher.ask(long_call(name))
    links[0].sent.clear()
    dispatcher.update(links[1:])
    assert answered == ["a"]
    assert not links[0].sent


def test_a_link_that_breaks_while_what_waited_is_sent(timers):
    """From a review: `update` came again from within and met what it had deleted."""
    links = [FakeLink("edge-0"), FakeLink("edge-1"), FakeLink("edge-2")]
    answered = []
    dispatcher = make_dispatcher(timers, links, 0.0, record_steps(answered))
    for name in "abcde":  # one for each instance, and one that waits
        dispatcher.ask(long_call(name, cost_ms=100.0))
    new_link = FakeLink("edge-3")
    new_link.send = lambda message: dispatcher.update([])
    dispatcher.update([*links[1:], new_link])
    assert sorted(answered) == ["b", "c", "d", "e"]  # the own instance works on a


def test_a_long_call_goes_out_though_all_links_break_under_a_short_one(timers):
    """From a review: what had been put aside was put back without another look."""
    links = [FakeLink("edge-0"), FakeLink("edge-1"), FakeLink("edge-2")]
    client = FakeAdviceClient()
    dispatcher = make_dispatcher(timers, links, 0.25, client=client)
    for name in ("long-1", "long-2", "long-3"):  # edge-1 and edge-2 take long calls
        dispatcher.ask(long_call(name))
    links[0].send = lambda message: dispatcher.update([])
    dispatcher.ask(long_call("short", cost_ms=100.0))
    assert client.asked == ["long-3"]


def test_what_waits_goes_out_once_a_pause_is_over(timers):
    """From a review: nobody looked again, and the step was never asked for."""
    links = [FakeLink(name) for name in NAMES]
    answered = []
    dispatcher = make_dispatcher(timers, links, 0.0, record_steps(answered))
    for number in range(7):  # as many as there are instances for long calls
        dispatcher.ask(long_call(f"s{number}"))
    timers.run(3_500)  # none is answered, and all seven are paused
    assert len(answered) == 7
    for link in links:
        link.sent.clear()
    dispatcher.ask(long_call("again"))
    assert not any(link.sent for link in links)
    timers.run(1_500)
    assert [row.step for link in links for row in link.sent] == ["again"]


def test_what_was_put_aside_is_not_sent_after_an_end_from_within(timers):
    """A link that breaks under a send may lose the cell."""
    links = [FakeLink("edge-0"), FakeLink("edge-1"), FakeLink("edge-2")]
    client = FakeAdviceClient()
    dispatcher = make_dispatcher(timers, links, 0.25, client=client)
    for name in ("long-1", "long-2", "long-3"):  # edge-1 and edge-2 take long calls
        dispatcher.ask(long_call(name))
    links[0].send = lambda message: dispatcher.end()
    dispatcher.ask(long_call("short", cost_ms=100.0))
    dispatcher.update([])
    assert not client.asked


def test_a_call_takes_a_slot_until_it_is_answered(timers):
    links = [FakeLink(f"edge-{number}") for number in range(9)]
    dispatcher = make_dispatcher(timers, links, 0.0)
    assert (dispatcher.slots.any_call, dispatcher.slots.long_call) == (10, 7)
    dispatcher.ask(long_call())
    assert (dispatcher.slots.any_call, dispatcher.slots.long_call) == (9, 6)
    [asked] = [link.sent[0] for link in links if link.sent]
    dispatcher.on_reply(reply_to(asked))
    assert (dispatcher.slots.any_call, dispatcher.slots.long_call) == (10, 7)


def test_a_paused_instance_has_no_slot(timers):
    dispatcher = make_dispatcher(timers, [FakeLink("edge-0")], 0.0)
    dispatcher.ask(long_call())
    timers.run(3_300)  # it is not answered, and the instance is paused
    assert (dispatcher.slots.any_call, dispatcher.slots.long_call) == (1, 0)


def test_long_calls_may_take_nearly_all_instances_while_short_ones_are_few(timers):
    """From cab-bogota, shifted: nine of 29 instances idled beside steps that waited."""
    links = [FakeLink(f"edge-{number:02}") for number in range(19)]
    dispatcher = make_dispatcher(timers, links, 0.0)
    assert dispatcher.slots.long_call == 14
    timers.run(5_100)
    dispatcher.ask(long_call())
    assert dispatcher.slots.long_call == 18


def test_instances_are_kept_for_as_many_short_calls_as_there_were(timers):
    links = [FakeLink(f"edge-{number:02}") for number in range(19)]
    dispatcher = make_dispatcher(timers, links, 0.0)
    timers.run(5_100)
    for _ in range(2):
        dispatcher.ask(long_call(cost_ms=60.0))
    assert (
        dispatcher.slots.long_call == 15
    )  # of 20, with five kept for twice two and one


def test_short_calls_are_kept_room_for_as_soon_as_there_are_some(timers):
    """After a time without any, a rise was not noted for five seconds."""
    links = [FakeLink(f"edge-{number:02}") for number in range(19)]
    dispatcher = make_dispatcher(timers, links, 0.0)
    timers.run(5_100)
    dispatcher.ask(long_call())
    assert dispatcher.slots.long_call == 18
    timers.run(100)
    for _ in range(2):
        dispatcher.ask(long_call(cost_ms=60.0))
    assert dispatcher.slots.long_call == 14  # of 20, five are kept and one is under way


def end_job(call):
    """Let a call's job end."""
    call.step.job.is_live = False


def test_what_waits_for_jobs_that_have_ended_takes_no_slot(timers):
    dispatcher = make_dispatcher(timers, [FakeLink("edge-0")], 0.0)
    calls = [long_call(f"s{number}") for number in range(6)]
    for call in calls:
        dispatcher.ask(call)
    assert dispatcher.slots.any_call == -4  # one is under way, five wait for long calls
    for call in calls[1:]:
        end_job(call)
    slots = dispatcher.current_slots()
    assert (slots.any_call, slots.long_call) == (1, 0)


def test_another_instance_is_told_once_of_a_call_in_vain(timers):
    notified = []
    link = FakeLink("edge-0")
    dispatcher = make_dispatcher(
        timers,
        [link],
        0.0,
        notify_withdrawn=lambda link, ids: notified.append((link, ids)),
    )
    call, stays = long_call("leaves"), long_call("stays")
    dispatcher.ask(call)
    dispatcher.ask(stays)
    dispatcher.current_slots()
    assert not notified
    end_job(call)
    for _ in range(3):
        dispatcher.current_slots()
    assert notified == [(link, [link.sent[0].call_id])]
    reply = reply_to(link.sent[0])
    reply.answered = False
    dispatcher.on_reply(reply)
    assert [message.step for message in link.sent] == ["leaves", "stays"]


def test_an_own_call_that_has_not_left_is_not_made_in_vain(timers):
    client = FakeAdviceClient()
    dispatcher = make_dispatcher(timers, [], 0.0, client=client)
    call = long_call()
    dispatcher.ask(call)
    (wanted,) = client.wanted
    assert wanted()
    end_job(call)
    assert not wanted()


def test_a_link_that_breaks_under_the_news_of_a_call_in_vain(timers):
    links = [FakeLink("edge-0"), FakeLink("edge-1")]
    notified = []

    def notify(link, call_ids):
        notified.append(call_ids)
        dispatcher.update([])

    dispatcher = make_dispatcher(timers, links, 0.0, notify_withdrawn=notify)
    calls = [long_call(f"s{n}", cost_ms=100.0) for n in range(3)]
    for call in calls:
        dispatcher.ask(call)
    for call in calls:
        end_job(call)
    assert dispatcher.current_slots().any_call == 0  # the own one is busy still
    assert len(notified) == 1
