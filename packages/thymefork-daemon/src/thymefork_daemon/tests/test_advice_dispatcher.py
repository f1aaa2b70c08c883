"""Tests of the distribution of calls to the advice service over the instances."""

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
    """Record the local instance's calls and leave them unanswered."""

    def __init__(self):
        self.asked = []
        self.wanted = []

    def ask(self, *, step_name, worker_ids, timeout_ms, done, wanted):
        self.asked.append(step_name)
        self.wanted.append(wanted)


def make_dispatcher(
    timers,
    links,
    start_fraction,
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
        start_fraction=start_fraction,
        on_answer=on_answer,
        notify_withdrawn=notify_withdrawn,
    )
    dispatcher.update(links)
    return dispatcher


def advice_call(name="s", cost_ms=900.0):
    step = SimpleNamespace(name=name, job=SimpleNamespace(is_live=True))
    return RequestAdvice(step=step, worker_ids=("w",), cost_ms=cost_ms, priority=1)


def record_steps(names):
    """Return an `on_answer` callback that records the steps' names."""
    return lambda step, *answer: names.append(step.name)


def reply_to(message):
    ticket = SimpleNamespace(worker_id="w", ticket="t")
    return SimpleNamespace(
        call_id=message.call_id, answered=True, tickets=[ticket], valid_ms=2_000
    )


def test_two_owners_start_with_different_instances(timers):
    """Calls of all owners queued up at the same instances."""
    links = [FakeLink(name) for name in NAMES]
    for start_fraction in (0.0, 0.5):
        dispatcher = make_dispatcher(timers, links, start_fraction)
        for _ in range(4):
            dispatcher.ask(advice_call())
    assert max(len(link.sent) for link in links) == 1


def test_call_timeout_allows_for_another_owners_call(timers):
    links = [FakeLink("edge-0")]
    dispatcher = make_dispatcher(timers, links, 0.0)
    dispatcher.ask(advice_call())
    dispatcher.ask(advice_call())
    timers.run(2 * 900)  # two calls, one after the other
    assert len(links[0].sent) == 1


def test_low_priority_call_is_sent_despite_constant_urgent_calls(timers):
    """Under overload, urgent calls starved the others."""
    links = [FakeLink(name) for name in NAMES]
    dispatcher = make_dispatcher(timers, links, 0.0)
    for _ in range(20):
        dispatcher.ask(advice_call())
    step = SimpleNamespace(name="late", job=SimpleNamespace(is_live=True))
    dispatcher.ask(
        RequestAdvice(step=step, worker_ids=("w",), cost_ms=900.0, priority=2)
    )
    for _ in range(12):
        timers.run(250)
        dispatcher.ask(advice_call())
        for link in links:
            if link.sent:
                reply = SimpleNamespace(
                    call_id=link.sent[-1].call_id,
                    answered=True,
                    tickets=[],
                    valid_ms=2_000,
                )
                dispatcher.on_reply(reply)
                dispatcher.ask(advice_call())
    asked = [message.step for link in links for message in link.sent]
    assert "late" in asked


def test_reply_is_handled_only_by_owner_that_made_call(timers):
    """Replies go to all owners on an instance; call ids must not collide."""
    link = FakeLink("edge-0")
    taken = {"one": [], "two": []}
    owners = {
        name: make_dispatcher(timers, [link], 0.0, record_steps(steps), "edge-9")
        for name, steps in taken.items()
    }
    for name, dispatcher in owners.items():
        dispatcher.ask(advice_call(f"step-of-{name}"))
    first, _ = link.sent
    for dispatcher in owners.values():
        dispatcher.on_reply(reply_to(first))
    assert taken == {"one": ["step-of-one"], "two": []}


def test_reply_to_previous_ownership_is_ignored(timers):
    """Call ids must not start over when a cell is lost and regained."""
    link, answers = FakeLink("edge-0"), []
    former = make_dispatcher(timers, [link], 0.0, instance="edge-9")
    former.ask(advice_call("former"))
    following = make_dispatcher(
        timers, [link], 0.0, lambda *row: answers.append(row), "edge-9"
    )
    following.ask(advice_call("following"))
    following.on_reply(reply_to(link.sent[0]))
    assert not answers


def test_waiting_call_is_not_sent_over_broken_link(timers):
    """A proxy whose call failed counted as free before it was removed."""
    links = [FakeLink("edge-0"), FakeLink("edge-1"), FakeLink("edge-2")]
    answered = []
    dispatcher = make_dispatcher(timers, links, 0.0, record_steps(answered))
    for name in "abc":  # two of four instances take long calls
        dispatcher.ask(advice_call(name))
    links[0].sent.clear()
    dispatcher.update(links[1:])
    assert answered == ["a"]
    assert not links[0].sent


def test_link_breaking_during_send_fails_each_call_once(timers):
    """`update` is called again while it removes proxies."""
    links = [FakeLink("edge-0"), FakeLink("edge-1"), FakeLink("edge-2")]
    answered = []
    dispatcher = make_dispatcher(timers, links, 0.0, record_steps(answered))
    for name in "abcde":  # one per instance, and one that waits
        dispatcher.ask(advice_call(name, cost_ms=100.0))
    new_link = FakeLink("edge-3")
    new_link.send = lambda message: dispatcher.update([])
    dispatcher.update([*links[1:], new_link])
    assert sorted(answered) == ["b", "c", "d", "e"]  # the local instance handles a


def test_long_call_is_sent_after_links_break_during_short_call(timers):
    """Calls set aside during a dispatch need another pass after the links change."""
    links = [FakeLink("edge-0"), FakeLink("edge-1"), FakeLink("edge-2")]
    client = FakeAdviceClient()
    dispatcher = make_dispatcher(timers, links, 0.25, client=client)
    for name in ("long-1", "long-2", "long-3"):  # edge-1 and edge-2 take long calls
        dispatcher.ask(advice_call(name))
    links[0].send = lambda message: dispatcher.update([])
    dispatcher.ask(advice_call("short", cost_ms=100.0))
    assert client.asked == ["long-3"]


def test_waiting_call_is_sent_when_pause_ends(timers):
    """With all proxies paused, no answer triggers a dispatch."""
    links = [FakeLink(name) for name in NAMES]
    answered = []
    dispatcher = make_dispatcher(timers, links, 0.0, record_steps(answered))
    for number in range(7):  # one per instance that takes long calls
        dispatcher.ask(advice_call(f"s{number}"))
    timers.run(3_500)  # none is answered; all are paused
    assert len(answered) == 7
    for link in links:
        link.sent.clear()
    dispatcher.ask(advice_call("again"))
    assert not any(link.sent for link in links)
    timers.run(1_500)
    assert [row.step for link in links for row in link.sent] == ["again"]


def test_no_call_is_sent_after_end_during_dispatch(timers):
    """A link that breaks during a send may end the ownership."""
    links = [FakeLink("edge-0"), FakeLink("edge-1"), FakeLink("edge-2")]
    client = FakeAdviceClient()
    dispatcher = make_dispatcher(timers, links, 0.25, client=client)
    for name in ("long-1", "long-2", "long-3"):  # edge-1 and edge-2 take long calls
        dispatcher.ask(advice_call(name))
    links[0].send = lambda message: dispatcher.end()
    dispatcher.ask(advice_call("short", cost_ms=100.0))
    dispatcher.update([])
    assert not client.asked


def test_call_occupies_slot_until_answered(timers):
    links = [FakeLink(f"edge-{number}") for number in range(9)]
    dispatcher = make_dispatcher(timers, links, 0.0)
    assert (dispatcher.slots.free_slots, dispatcher.slots.free_long_call_slots) == (
        10,
        7,
    )
    dispatcher.ask(advice_call())
    assert (dispatcher.slots.free_slots, dispatcher.slots.free_long_call_slots) == (
        9,
        6,
    )
    [asked] = [link.sent[0] for link in links if link.sent]
    dispatcher.on_reply(reply_to(asked))
    assert (dispatcher.slots.free_slots, dispatcher.slots.free_long_call_slots) == (
        10,
        7,
    )


def test_paused_instance_has_no_slot(timers):
    dispatcher = make_dispatcher(timers, [FakeLink("edge-0")], 0.0)
    dispatcher.ask(advice_call())
    timers.run(3_300)  # the call times out
    assert (dispatcher.slots.free_slots, dispatcher.slots.free_long_call_slots) == (
        1,
        0,
    )


def test_long_calls_use_nearly_all_instances_without_short_calls(timers):
    """A fixed reserve left instances idle while long calls waited."""
    links = [FakeLink(f"edge-{number:02}") for number in range(19)]
    dispatcher = make_dispatcher(timers, links, 0.0)
    assert dispatcher.slots.free_long_call_slots == 14
    timers.run(5_100)
    dispatcher.ask(advice_call())
    assert dispatcher.slots.free_long_call_slots == 18


def test_reserve_follows_recent_number_of_short_calls(timers):
    links = [FakeLink(f"edge-{number:02}") for number in range(19)]
    dispatcher = make_dispatcher(timers, links, 0.0)
    timers.run(5_100)
    for _ in range(2):
        dispatcher.ask(advice_call(cost_ms=60.0))
    assert dispatcher.slots.free_long_call_slots == 15  # of 20, with 2 * 2 + 1 reserved


def test_reserve_grows_at_once_when_short_calls_begin(timers):
    """A rise was recorded only at the end of the retention time."""
    links = [FakeLink(f"edge-{number:02}") for number in range(19)]
    dispatcher = make_dispatcher(timers, links, 0.0)
    timers.run(5_100)
    dispatcher.ask(advice_call())
    assert dispatcher.slots.free_long_call_slots == 18
    timers.run(100)
    for _ in range(2):
        dispatcher.ask(advice_call(cost_ms=60.0))
    assert (
        dispatcher.slots.free_long_call_slots == 14
    )  # of 20, 5 are reserved and 1 is busy


def end_job(call):
    """End the job of a call."""
    call.step.job.is_live = False


def test_calls_of_ended_jobs_occupy_no_slot(timers):
    dispatcher = make_dispatcher(timers, [FakeLink("edge-0")], 0.0)
    calls = [advice_call(f"s{number}") for number in range(6)]
    for call in calls:
        dispatcher.ask(call)
    assert dispatcher.slots.free_slots == -4  # 1 in flight, 5 waiting
    for call in calls[1:]:
        end_job(call)
    slots = dispatcher.current_slots()
    assert (slots.free_slots, slots.free_long_call_slots) == (1, 0)


def test_instance_is_notified_once_of_unwanted_call(timers):
    notified = []
    link = FakeLink("edge-0")
    dispatcher = make_dispatcher(
        timers,
        [link],
        0.0,
        notify_withdrawn=lambda link, ids: notified.append((link, ids)),
    )
    call, stays = advice_call("leaves"), advice_call("stays")
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


def test_unsent_local_call_becomes_unwanted_when_job_ends(timers):
    client = FakeAdviceClient()
    dispatcher = make_dispatcher(timers, [], 0.0, client=client)
    call = advice_call()
    dispatcher.ask(call)
    (wanted,) = client.wanted
    assert wanted()
    end_job(call)
    assert not wanted()


def test_link_breaking_during_withdrawal_is_handled(timers):
    links = [FakeLink("edge-0"), FakeLink("edge-1")]
    notified = []

    def notify(link, call_ids):
        notified.append(call_ids)
        dispatcher.update([])

    dispatcher = make_dispatcher(timers, links, 0.0, notify_withdrawn=notify)
    calls = [advice_call(f"s{n}", cost_ms=100.0) for n in range(3)]
    for call in calls:
        dispatcher.ask(call)
    for call in calls:
        end_job(call)
    assert (
        dispatcher.current_slots().free_slots == 0
    )  # the local instance is still busy
    assert len(notified) == 1
