"""Tests of overload detection and load shedding, mostly by cycles that begin late."""

import pytest

from thymefork_daemon.capacity import LoadShedder, OwnerLoad, SheddableWork

SAMPLE_MS = 100.0


class SimulatedOwner:
    """Record cycles and appends with given measurements."""

    def __init__(self, *, link_mbps=0.0):
        self.now_ms = 1_000.0
        self.load = OwnerLoad(link_mbps=link_mbps)
        self.load_shedder = LoadShedder(load=self.load)

    def run(
        self, for_ms, *, lag_ms=0.0, busy=0.1, append_ms=10.0, join_ms=6.0, queued=0
    ):
        seen = []
        for _ in range(int(for_ms / SAMPLE_MS)):
            self.now_ms += SAMPLE_MS
            self.load.record_cycle(lag_ms=lag_ms, busy_ms=busy * SAMPLE_MS)
            self.load.record_append(append_ms)
            self.load.sample(self.now_ms, join_ms=join_ms, queued_bytes=queued)
            self.load_shedder.update()
            seen.append(tuple(self.load_shedder.kinds))
        return seen


@pytest.fixture
def owner():
    owner = SimulatedOwner()
    owner.run(1_000)
    return owner


def test_normal_load_sheds_nothing(owner):
    assert set(owner.run(10_000, lag_ms=10.0, busy=0.4, append_ms=20.0)) == {()}
    assert not owner.load.is_overloaded


def test_work_is_shed_in_order_and_resumed_in_reverse(owner):
    rising = owner.run(5_000, lag_ms=250.0)
    order = list(dict.fromkeys(rising))
    assert order == [(), *(tuple(SheddableWork)[:n] for n in (1, 2, 3))]
    assert owner.load.is_overloaded
    falling = owner.run(5_000)
    assert falling[-1] == ()
    assert not owner.load.is_overloaded
    assert [len(kinds) for kinds in falling] == sorted(
        (len(kinds) for kinds in falling), reverse=True
    )


@pytest.mark.parametrize(
    "sight",
    [
        {"lag_ms": 250.0},
        {"busy": 1.0},
        {"append_ms": 300.0},
        {"queued": 150_000},  # 240 ms of the link
    ],
)
def test_each_measurement_alone_overloads_owner(sight):
    owner = SimulatedOwner(link_mbps=5.0)
    owner.run(8_000, **sight)
    assert owner.load.is_overloaded


def test_short_burst_is_no_overload(owner):
    owner.run(200, lag_ms=300.0, busy=1.0)
    assert not owner.load.is_overloaded


def test_slow_store_is_no_overload(owner):
    owner.run(10_000, append_ms=600.0, join_ms=300.0)
    assert not owner.load_shedder.kinds


def test_load_near_threshold_does_not_toggle_shedding(owner):
    owner.run(5_000, lag_ms=150.0)
    assert owner.load_shedder.kinds == [
        SheddableWork.LOG_LINES,
        SheddableWork.IDLE_LOOKS,
    ]
    for lag_ms in (100.0, 155.0) * 20:
        seen = owner.run(200, lag_ms=lag_ms)
        assert set(seen) == {(SheddableWork.LOG_LINES, SheddableWork.IDLE_LOOKS)}


def test_reset_clears_load(owner):
    owner.run(5_000, lag_ms=300.0)
    owner.load.reset()
    assert not owner.load.percent and not owner.load.is_overloaded


def test_process_pause_is_no_overload(owner):
    owner.now_ms += 4_000.0
    owner.run(100, lag_ms=4_000.0)
    assert not owner.load.is_overloaded
    assert owner.run(2_000)[-1] == ()
