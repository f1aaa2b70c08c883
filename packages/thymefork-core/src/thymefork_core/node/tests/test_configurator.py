"""Guards against files that are refused because their base was not read here yet."""

from types import SimpleNamespace

import pytest

from thymefork_core.config import ConfigVersion
from thymefork_core.log import Stream
from thymefork_core.node.configurator import BASE_PATIENCE_MS, Configurator


class Config:
    """Hold the newest version, like the configuration of an instance."""

    def __init__(self):
        self.current = version(2)

    @property
    def version(self):
        return self.current.version

    def offer_newer(self, other):
        is_newer = other.version > self.version
        self.current = other if is_newer else self.current
        return is_newer

    offer_from_log = offer_newer


def version(number):
    return ConfigVersion(
        version=number, base=number - 1, author="a", record_id=f"v{number}", file={}
    )


@pytest.fixture
def context():
    emitted, recorded = [], []
    return SimpleNamespace(
        now=SimpleNamespace(mono_ms=0),
        log_is_down=False,
        caught_up={Stream.CONFIG: True},
        config=Config(),
        incarnation="i",
        name="h-1",
        limits=SimpleNamespace(checkpoint_every_ms=1_000_000),
        members=SimpleNamespace(live=lambda now: []),
        emitted=emitted,
        recorded=recorded,
        emit=emitted.append,
        note=lambda *_, **__: None,
        record=lambda candidate, stream: recorded.append(candidate),
    )


def apply(configurator, base):
    message = SimpleNamespace(request_id="r", base=base, author="a", file={})
    configurator.apply(message)


def replies(context):
    return [row for row in context.emitted if hasattr(row, "accepted")]


# Another instance had accepted the base; this one refused it as no longer in force.
@pytest.mark.parametrize("from_peer", [False, True])
def test_file_over_a_base_accepted_elsewhere_waits_for_it(context, from_peer):
    configurator = Configurator(context=context)
    apply(configurator, base=3)
    assert not replies(context) and not context.recorded
    if from_peer:
        configurator.on_push(version(3))
    else:
        configurator.on_read(SimpleNamespace(checkpoints=(), versions=(version(3),)))
    assert [candidate.version for candidate in context.recorded] == [4]


def test_file_over_an_unknown_base_is_refused_in_time(context):
    configurator = Configurator(context=context)
    apply(configurator, base=99)
    context.now.mono_ms = BASE_PATIENCE_MS + 1
    configurator.tick()
    (reply,) = replies(context)
    assert not reply.accepted and "not in force here" in reply.reason
    assert len(configurator) == 0


def test_file_over_an_older_base_is_refused_at_once(context):
    apply(Configurator(context=context), base=1)
    (reply,) = replies(context)
    assert not reply.accepted
