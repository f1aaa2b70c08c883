"""Tests of simulated loads and variants."""

import orjson
import pytest
from typer.testing import CliRunner

from bench import experiments
from bench.load_file import read_load
from bench.load_simulation import LoadSimulation
from bench.overload_order import OverloadDetector

LOAD = {
    "workers": 4,
    "cpu_milli": [8_000],
    "slowness": [1.0, 2.0],
    "seconds": 2,
    "accounts": [
        {"name": "a", "part": 0.5, "weight": 2, "limit_cpu_milli": 8_000},
        {"name": "b", "part": 0.5, "weight": 9},
    ],
    "kinds": [
        {
            "name": "lookup",
            "jobs_per_s": 6,
            "width": 3,
            "cpu_milli": 1_000,
            "work_ms": 300,
            "stretch": 1.5,
            "target_ms": 300,
            "worth": 1.0,
            "advice": {"decision_ms": 20, "per_worker_ms": 1, "valid_ms": 2_500},
            "allowed_share": 0.8,
        }
    ],
}


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "small.json"
    path.write_bytes(orjson.dumps(LOAD))
    return path


def test_same_seed_gives_the_same_outcome(path):
    first, second = (
        LoadSimulation(load=read_load(path), seed=1).run() for _ in range(2)
    )
    assert first == second
    assert 0 < first["worth"] <= 1


def test_variant_is_undone_after_its_simulation(path):
    before = experiments.advice_choice.MARGIN
    experiments.simulate(path, "calls for three times what is needed", 1)
    assert experiments.advice_choice.MARGIN == before


def test_jobs_beyond_the_promised_rate_are_not_counted(path):
    simulation = LoadSimulation(load=read_load(path), seed=1)
    simulation.run()
    sent = [one for one in simulation._sent_jobs.values() if one.account == "a"]
    assert (
        sum(one.is_promised for one in sent)
        <= 2 * (LOAD["seconds"] + 1)
        < len(sent) + 7
    )


@pytest.mark.parametrize(
    "variant",
    [
        "all by use",
        "by use within a priority",
        "all by fair queueing",
        "beyond shares by fair queueing",
        "in time first past full load",
    ],
)
def test_alternative_order_earns_worth(path, variant):
    assert experiments.simulate(path, variant, 1).worth > 0


def test_account_sends_only_its_kinds(path):
    kind = {**LOAD["kinds"][0], "name": "merge"}
    wide = {**LOAD["accounts"][0], "kinds": ["merge"], "width_factor": 3.0}
    accounts = [wide, LOAD["accounts"][1]]
    load = {**LOAD, "kinds": [*LOAD["kinds"], kind], "accounts": accounts}
    path.write_bytes(orjson.dumps(load))
    simulation = LoadSimulation(load=read_load(path), seed=1)
    simulation.run()
    sent = simulation._sent_jobs.values()
    assert {one.kind.name for one in sent if one.account == "a"} == {"merge"}
    assert {one.kind.name for one in sent if one.account == "b"} == {"lookup", "merge"}


def test_overload_detector_has_hysteresis():
    detector = OverloadDetector()
    ratios = (0.9, 1.1, 0.6, 0.4, 0.9)
    states = [detector.update(ratio, 1.0) for ratio in ratios]
    assert states == [False, True, True, False, False]


def test_unknown_field_is_named_in_the_error(path):
    path.write_bytes(orjson.dumps({**LOAD, "wokers": 4}))
    with pytest.raises(TypeError, match="wokers"):
        read_load(path)


def test_unknown_variant_is_named_in_the_error(path):
    app = experiments.typer.Typer()
    app.command()(experiments.run)
    arguments = ["--load", str(path), "--variant", "none"]
    done = CliRunner().invoke(app, arguments)
    assert done.exit_code == 2
    assert "none" in done.output
