"""Compare variants of scheduling decisions on simulated loads, on virtual time.

`python -m bench.experiments --load bench/loads/full-all-day.json --variant "as it is"
--variant "no shares"` simulates each variant with the same seeds and prints the mean
worth, its standard deviation, and the mean paired difference to the first variant with
its standard error.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from math import log
from pathlib import Path
from statistics import fmean, stdev
from typing import Annotated

import typer
from attrs import frozen

from thymefork_cells.accounts import job_rate_shares
from thymefork_cells.advice import worker_selection as advice_choice
from thymefork_cells.estimates import image_durations, worker_speeds
from thymefork_cells.placement import (
    placer,
    preemptor,
    reservations,
    speed_scorer,
    step_order,
)

from . import account_orders, overload_order
from .load_file import read_load
from .load_simulation import LoadSimulation

__all__ = ["VARIANTS", "Outcome", "compare", "main", "simulate"]


def _emptiest_first(spec, worker, speed_scorer=None):
    """Prefer the emptiest worker to the tightest fit."""
    entry = worker.entry
    free = worker.free_cpu_milli / max(1, entry.cpu_milli)
    return -free + (2.0 if worker.health.failures_in_row else 0.0)


def _shortest_first(order, now_ms, steps=step_order.StepOrder.steps):
    """Order steps of one priority by their remaining work."""

    def rank(step):
        priority = order._context.queue(step.job).priority
        work_ms = len(step.waiting) * step.spec.estimated_ms
        return step.job.is_beyond_share, priority, work_ms * step.spec.cpu_milli

    return sorted(steps(order, now_ms), key=rank)


def _by_speed_class(fit, worker, *, is_remote=False):
    """Score by speed alone: the most urgent queue prefers fast workers, others slow."""
    is_most_urgent = fit._fast_penalty == speed_scorer.FAST_PENALTY_MOST_URGENT
    points = speed_scorer.FAST_PENALTY * log(worker.slowness)
    return points if is_most_urgent else -points


# Attributes that a variant replaces: module or class, name and value.
VARIANTS = {
    "as it is": (),
    "no shares": ((job_rate_shares.JobRateShares, "admits", lambda *args: True),),
    "by jobs a second alone": (
        (step_order.StepOrder, "_by_use", account_orders.by_job_rate_only),
    ),
    "all by use": (
        (step_order.StepOrder, "_by_use", account_orders.by_dominant_share),
    ),
    "by use within a priority": (
        (
            step_order.StepOrder,
            "_by_use",
            account_orders.by_dominant_share_within_priority,
        ),
    ),
    "all by fair queueing": (
        (step_order.StepOrder, "_by_use", account_orders.fair_queueing),
    ),
    "beyond shares by fair queueing": (
        (step_order.StepOrder, "_by_use", account_orders.fair_queueing_beyond_share),
    ),
    "in time first past full load": (
        (step_order.StepOrder, "_by_use", overload_order.order_when_overloaded),
    ),
    "in time first, over priorities": (
        (step_order.StepOrder, "_by_use", overload_order.order_ignoring_priorities),
    ),
    "shares of 0.5 s": ((job_rate_shares, "BURST_MS", 500.0),),
    "shares of 10 s": ((job_rate_shares, "BURST_MS", 10_000.0),),
    "shortest first": ((step_order.StepOrder, "steps", _shortest_first),),
    "emptiest worker first": ((placer, "fit_score", _emptiest_first),),
    "nobody makes way": ((preemptor.Preemptor, "make_room", lambda *args: False),),
    "no room is kept": (
        (reservations.Reservations, "_waits_for_room", lambda *args: False),
    ),
    "speeds are not learned": (
        (worker_speeds.WorkerSpeeds, "learn", lambda *args, **fields: False),
    ),
    "by class of speed alone": ((speed_scorer.SpeedScorer, "rate", _by_speed_class),),
    "fast room is not kept": ((speed_scorer, "FAST_PENALTY", 0.0),),
    "callers' estimates alone": (
        (image_durations.ImageDurations, "learn", lambda *args: None),
    ),
    "calls for little more than needed": ((advice_choice, "MARGIN", 1.2),),
    "calls for three times what is needed": ((advice_choice, "MARGIN", 3.0),),
    "calls grow slowly": ((advice_choice, "WIDER_AFTER_MS", 2_000.0),),
    "calls for three times, grow slowly": (
        (advice_choice, "MARGIN", 3.0),
        (advice_choice, "WIDER_AFTER_MS", 2_000.0),
    ),
}


@frozen(kw_only=True)
class Outcome:
    """Hold the result of one simulation, as fractions of the worth requested."""

    worth: float
    in_time: float
    worst_account: float
    calls: int


@contextmanager
def _variant_applied(variant):
    originals = [
        (owner, name, getattr(owner, name)) for owner, name, _ in VARIANTS[variant]
    ]
    for owner, name, value in VARIANTS[variant]:
        setattr(owner, name, value)
    try:
        yield
    finally:
        for owner, name, value in originals:
            setattr(owner, name, value)


def simulate(path, variant, seed):
    """Simulate a load once."""
    with _variant_applied(variant):
        result = LoadSimulation(load=read_load(path), seed=seed).run()
    return Outcome(**result)


def compare(path, variants, seeds, processes):
    """Return the outcomes of each variant by seed; print progress to standard error."""
    cases = [(variant, seed) for variant in variants for seed in range(1, seeds + 1)]
    outcomes_by_variant = {variant: [] for variant in variants}
    with ProcessPoolExecutor(processes) as pool:
        futures = [
            pool.submit(simulate, path, variant, seed) for variant, seed in cases
        ]
        for number, ((variant, _), future) in enumerate(
            zip(cases, futures, strict=True), 1
        ):
            outcomes_by_variant[variant].append(future.result())
            print(f"\r{number} of {len(cases)} simulations", end="", file=sys.stderr)
    print(file=sys.stderr)
    return outcomes_by_variant


def _row(variant, outcomes, base):
    worth = [outcome.worth for outcome in outcomes]
    gains = [
        outcome.worth - first.worth
        for outcome, first in zip(outcomes, base, strict=True)
    ]
    spread = stdev(worth) if len(worth) > 1 else 0.0
    error = stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else 0.0
    return (
        f"{variant:38} {fmean(worth):.3f} ({spread:.3f})  {fmean(gains):+.4f} "
        f"({error:.4f})  {fmean(o.in_time for o in outcomes):.3f}    "
        f"{fmean(o.worst_account for o in outcomes):.3f}         "
        f"{fmean(o.calls for o in outcomes):.0f}"
    )


def _draw(outcomes_by_variant, path):
    from matplotlib import pyplot  # optional dependency

    figure, axes = pyplot.subplots(figsize=(8, 4))
    axes.boxplot(
        [
            [outcome.worth for outcome in outcomes]
            for outcomes in outcomes_by_variant.values()
        ]
    )
    axes.set_xticks(
        range(1, len(outcomes_by_variant) + 1),
        list(outcomes_by_variant),
        rotation=20,
        ha="right",
    )
    axes.set_ylabel("share of the worth")
    figure.tight_layout()
    figure.savefig(path)


def run(
    load: Annotated[Path, typer.Option(exists=True, help="A load's JSON file.")],
    variant: Annotated[
        list[str], typer.Option(help="Variant to run; repeat for several.")
    ] = (),
    seeds: Annotated[int, typer.Option(min=1, help="Simulations of each variant.")] = 4,
    processes: Annotated[
        int, typer.Option(min=1, help="Number of parallel processes.")
    ] = 4,
    plot: Annotated[Path | None, typer.Option(help="File for a box plot.")] = None,
):
    """Simulate variants of scheduling decisions on a load, with the same seeds."""
    variants = list(variant) or list(VARIANTS)
    unknown = [name for name in variants if name not in VARIANTS]
    if unknown:
        raise typer.BadParameter(f"{unknown[0]!r}; known: {', '.join(VARIANTS)}")
    outcomes_by_variant = compare(load, variants, seeds, processes)
    print(
        f"{load.stem:38} worth (spread) difference (error)  in time  "
        "worst account  calls"
    )
    for name, outcomes in outcomes_by_variant.items():
        print(_row(name, outcomes, outcomes_by_variant[variants[0]]))
    if plot is not None:
        _draw(outcomes_by_variant, plot)


def main():
    """Run the command line interface."""
    typer.run(run)


if __name__ == "__main__":
    main()
