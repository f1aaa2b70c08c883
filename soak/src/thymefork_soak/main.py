"""Command `thymefork-soak`: run one soak test and print its verdict."""

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from .accounts import (
    NAMES,
    UNLIMITED,
    AccountChanges,
    Accounts,
    GuestCaller,
    StrangerCaller,
)
from .callers import Caller
from .capacity_changes import CapacityChanges
from .crashing_caller import CrashingCaller
from .entry_corruption import EntryCorrupter
from .failing_caller import FailingCaller
from .faults import FaultInjector
from .fleet import Fleet
from .late_restarts import LateRestarts, LateRestartSettings
from .long_running_caller import LongRunningCaller
from .outage_restarts import OutageRestarts
from .standin.faulty_server import LATE_MS

__all__ = ["main", "soak"]

# Time for the daemons to start and take over their cells.
SETTLE_S = 5.0
# Every accepted job must end within this time after the last fault.
FINISH_S = 30.0
WORKERS = 6
CALLERS = 4
LONG_RUNNING_CALLERS = 6
# Callers of jobs that stay, and of jobs that always fail, for the standstill check.
STAYING_CALLERS = 3
FAILING_CALLERS = 3
# Covers the reconnect, cancel and stop timeouts after the last cancellation.
MARGIN_S = 6.5


async def soak(
    seed,
    seconds,
    instances,
    folder,
    *,
    with_accounts=True,
    with_restarts=False,
    is_heterogeneous=False,
    calm_s=0.0,
    late_restarts=None,
    with_other_faults=True,
):
    """Run one soak test; return the violations and a summary line.

    With `calm_s`, jobs that always fail run beside lasting ones that stay. After the
    faults all is calm for that time, but for a worker that crashes. The settings
    `late_restarts` add restarts of workers to which commands are on the way.
    """
    rng = random.Random(seed)
    fleet = Fleet(
        instances=instances,
        workers=WORKERS,
        seed=seed,
        folder=folder,
        accounts=Accounts() if with_accounts else None,
        is_heterogeneous=is_heterogeneous,
    )
    began_s = time.monotonic()

    def now():
        return time.monotonic() - began_s

    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        callers = [
            Caller(
                fleet=fleet,
                random=random.Random(rng.random()),
                account=NAMES[number % len(NAMES)] if with_accounts else "",
            )
            for number in range(CALLERS)
        ]
        restarts = OutageRestarts(
            fleet=fleet, random=random.Random(f"{seed} rolls"), workers=WORKERS
        )
        fault_injector = FaultInjector(
            fleet=fleet,
            random=random.Random(rng.random()),
            workers=WORKERS,
            restarts=restarts if with_restarts else None,
        )
        long_running = [
            LongRunningCaller(
                fleet=fleet,
                random=random.Random(f"{seed} lasting {number}"),
                account=UNLIMITED if with_accounts else "",
            )
            for number in range(LONG_RUNNING_CALLERS)
        ]
        staying = [
            LongRunningCaller(
                fleet=fleet,
                random=random.Random(f"{seed} staying {number}"),
                account=UNLIMITED if with_accounts else "",
                stays=True,
            )
            for number in range(STAYING_CALLERS if calm_s else 0)
        ]
        failing = [
            FailingCaller(
                fleet=fleet,
                random=random.Random(f"{seed} failing {number}"),
                account=UNLIMITED if with_accounts else "",
            )
            for number in range(FAILING_CALLERS if calm_s else 0)
        ]
        long_running += staying
        crashing = CrashingCaller(
            fleet=fleet,
            random=random.Random(f"{seed} crashing"),
            account=UNLIMITED if with_accounts else "",
        )
        capacity_changes = CapacityChanges(
            fleet=fleet, random=random.Random(f"{seed} rooms"), workers=WORKERS
        )
        corrupter = EntryCorrupter(
            fleet=fleet, random=random.Random(f"{seed} spoiled"), workers=WORKERS
        )
        account_callers = _account_callers(fleet, seed) if with_accounts else []
        long_running_tasks = [
            asyncio.ensure_future(caller.run()) for caller in long_running
        ]
        until_s = SETTLE_S + seconds
        failing_tasks = [
            asyncio.ensure_future(caller.run(until_s + calm_s, now))
            for caller in failing
        ]
        late_restart_injector = LateRestarts(
            fleet=fleet,
            random=random.Random(f"{seed} late restarts"),
            workers=WORKERS,
            settings=late_restarts or LateRestartSettings(),
        )
        sources = [*callers, *account_callers]
        if late_restarts is not None:
            sources.append(late_restart_injector)
        runs = []
        if with_other_faults:
            sources += [fault_injector, crashing, capacity_changes, corrupter]
            outages = random.Random(f"{seed} outages")
            runs.append(fault_injector.run_outages(until_s, now, outages))
        await asyncio.gather(*runs, *(each.run(until_s, now) for each in sources))
        history = fault_injector.history + late_restart_injector.history
        (folder / "faults.txt").write_text("\n".join([*history, ""]))
        if calm_s:
            await fault_injector.crash_worker()
            await asyncio.gather(asyncio.sleep(calm_s), *failing_tasks)
        callers += [*long_running, *failing, crashing]
        violations = await _stop_long_running(long_running, long_running_tasks)
        await asyncio.sleep(MARGIN_S)
        violations += await _check_jobs(fleet, callers, now)
        violations += [
            line
            for extra in account_callers
            for line in getattr(extra, "violations", ())
        ]
    finally:
        fleet.stop()
    submitted_jobs = [
        submitted for caller in callers for submitted in caller.submitted_jobs
    ]
    accepted = sum(submitted.accepted for submitted in submitted_jobs)
    return (
        violations,
        f"{len(submitted_jobs)} jobs, {accepted} accepted, {len(history)} faults",
    )


def _account_callers(fleet, seed):
    """Return the account changes and the callers with keys that may be refused."""
    classes = (AccountChanges, GuestCaller, StrangerCaller)
    return [
        each(fleet=fleet, random=random.Random(f"{seed} {each.__name__}"))
        for each in classes
    ]


async def _stop_long_running(callers, tasks):
    """Cancel the long-running jobs; return a violation if some did not end."""
    for caller in callers:
        caller.leave()
    ended, stuck = await asyncio.wait(tasks, timeout=FINISH_S)
    for task in ended:
        task.result()  # raises what failed in the caller itself
    return [f"ACKS: {len(stuck)} long-running jobs did not end"] if stuck else []


async def _check_jobs(fleet, callers, now):
    submitted_jobs = [
        (caller, submitted) for caller in callers for submitted in caller.submitted_jobs
    ]
    pending = [row for row in submitted_jobs if row[1].accepted]
    until_s = now() + FINISH_S
    while pending and now() < until_s:
        unfinished = []
        for caller, submitted in pending:
            submitted.state = await caller.read_state(submitted)
            if submitted.state not in ("succeeded", "cancelled", "failed"):
                unfinished.append((caller, submitted))
        pending = unfinished
        await asyncio.sleep(0.3)
    verdict = await fleet.control("verdict", {})
    violations = list(verdict["broken"])
    if verdict["faults"]:
        # A fault that never ended would have disabled the checks after it.
        raise RuntimeError("faults have not ended: cancelled jobs were not checked")
    started = set(verdict["started_jobs"])
    for _, submitted in submitted_jobs:
        if submitted.always_refused and submitted.job_id in started:
            violations.append(
                f"REFUSED: {submitted.job_id} ran; answers {submitted.answers}"
            )
        expected = ("succeeded", "cancelled") if submitted.cancelled else ("succeeded",)
        if submitted.long_running:
            expected = ("cancelled",)
        if submitted.failing:
            expected = ("cancelled", "failed")
        if submitted.crashing:
            expected = ("failed",)
        if submitted.accepted and submitted.state not in expected:
            violations.append(
                f"LOST: {submitted.job_id} is {submitted.state or 'not answered'}"
            )
    return violations


def run(
    seed: Annotated[int, typer.Option(help="Seed of jobs and faults.")] = 1,
    seconds: Annotated[float, typer.Option(help="How long to inject faults.")] = 20.0,
    instances: Annotated[int, typer.Option(help="Number of daemons.")] = 3,
    rolls: Annotated[bool, typer.Option(help="Restart instances in outages.")] = True,
    uneven: Annotated[
        bool, typer.Option(help="Workers and instances of different sizes.")
    ] = False,
    calm: Annotated[
        float, typer.Option(help="Calm seconds after the faults, beside failing jobs.")
    ] = 0.0,
    late_restarts: Annotated[
        bool, typer.Option(help="Restart workers while calls to them are late.")
    ] = False,
    late_ms: Annotated[
        tuple[float, float], typer.Option(help="How late those calls may be.")
    ] = LATE_MS,
    late_restart_interval: Annotated[
        tuple[float, float], typer.Option(help="Seconds between late restarts.")
    ] = LateRestartSettings().interval_s,
    other_faults: Annotated[bool, typer.Option(help="Inject the other faults.")] = True,
):
    """Run daemons under injected faults and print one verdict line."""
    folder = Path(tempfile.mkdtemp(prefix="thymefork-soak-"))
    settings = LateRestartSettings(interval_s=late_restart_interval, late_ms=late_ms)
    violations, summary = asyncio.run(
        soak(
            seed,
            seconds,
            instances,
            folder,
            with_restarts=rolls,
            is_heterogeneous=uneven,
            calm_s=calm,
            late_restarts=settings if late_restarts else None,
            with_other_faults=other_faults,
        )
    )
    for line in violations[:20]:
        typer.echo(line)
    word = "broken" if violations else "kept"
    typer.echo(f"seed {seed}: promises {word}; {summary}; logs in {folder}")
    raise typer.Exit(1 if violations else 0)


def main():
    """Run the command line interface."""
    typer.run(run)


if __name__ == "__main__":
    main()
