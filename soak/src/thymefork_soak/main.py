"""The command thymefork-soak: one seed, one verdict line."""

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
from .faults import FaultPlan
from .fleet import Fleet
from .long_running_caller import LongRunningCaller
from .outage_restarts import OutageRestarts

__all__ = ["main", "soak"]

# The daemons agree on their cells within about four seconds of the start.
SETTLE_S = 5.0
# After the last fault, every accepted job has to end within this time.
FINISH_S = 30.0
WORKERS = 6
CALLERS = 4
LONG_RUNNING_CALLERS = 6
# What was cancelled last is judged only after contact, cancelling and stop; and a bit.
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
):
    """Run one soak; return what it broke, and a line on what it saw."""
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
        rolls = OutageRestarts(
            fleet=fleet, random=random.Random(f"{seed} rolls"), workers=WORKERS
        )
        plan = FaultPlan(
            fleet=fleet,
            random=random.Random(rng.random()),
            workers=WORKERS,
            rolls=rolls if with_restarts else None,
        )
        long_running = [
            LongRunningCaller(
                fleet=fleet,
                random=random.Random(f"{seed} lasting {number}"),
                account=UNLIMITED if with_accounts else "",
            )
            for number in range(LONG_RUNNING_CALLERS)
        ]
        crashing = CrashingCaller(
            fleet=fleet,
            random=random.Random(f"{seed} crashing"),
            account=UNLIMITED if with_accounts else "",
        )
        rooms = CapacityChanges(
            fleet=fleet, random=random.Random(f"{seed} rooms"), workers=WORKERS
        )
        corrupter = EntryCorrupter(
            fleet=fleet, random=random.Random(f"{seed} spoiled"), workers=WORKERS
        )
        account_callers = _account_callers(fleet, seed) if with_accounts else []
        kept = [asyncio.ensure_future(caller.work()) for caller in long_running]
        until = SETTLE_S + seconds
        await asyncio.gather(
            plan.work(until, now),
            plan.work_outages(until, now, random.Random(f"{seed} outages")),
            crashing.work(until, now),
            rooms.work(until, now),
            corrupter.work(until, now),
            *(caller.work(until, now) for caller in callers),
            *(asker.work(until, now) for asker in account_callers),
        )
        (folder / "faults.txt").write_text("\n".join([*plan.done, ""]))
        callers += [*long_running, crashing]
        violations = await _stop_long_running(long_running, kept)
        await asyncio.sleep(MARGIN_S)
        violations += await _check_jobs(fleet, callers, now)
        violations += [
            line
            for asker in account_callers
            for line in getattr(asker, "violations", ())
        ]
    finally:
        fleet.stop()
    submitted_jobs = [
        submitted for caller in callers for submitted in caller.submitted_jobs
    ]
    accepted = sum(submitted.accepted for submitted in submitted_jobs)
    return (
        violations,
        f"{len(submitted_jobs)} jobs, {accepted} accepted, {len(plan.done)} faults",
    )


def _account_callers(fleet, seed):
    """Return what changes the accounts, and who asks by keys that may not serve."""
    parts = (AccountChanges, GuestCaller, StrangerCaller)
    return [
        part(fleet=fleet, random=random.Random(f"{seed} {part.__name__}"))
        for part in parts
    ]


async def _stop_long_running(long_running, kept):
    """End the lasting jobs; return whether some could not be ended."""
    for caller in long_running:
        caller.leave()
    ended, stuck = await asyncio.wait(kept, timeout=FINISH_S)
    for task in ended:
        task.result()  # a fault of the soak's own is raised here
    return [f"ACKS: {len(stuck)} lasting jobs are not ended"] if stuck else []


async def _check_jobs(fleet, callers, now):
    submitted_jobs = [
        (caller, submitted) for caller in callers for submitted in caller.submitted_jobs
    ]
    pending = [row for row in submitted_jobs if row[1].accepted]
    until = now() + FINISH_S
    while pending and now() < until:
        left = []
        for caller, submitted in pending:
            submitted.state = await caller.read_state(submitted)
            if submitted.state not in ("succeeded", "cancelled", "failed"):
                left.append((caller, submitted))
        pending = left
        await asyncio.sleep(0.3)
    verdict = await fleet.control("verdict", {})
    violations = list(verdict["broken"])
    if verdict["faults"]:
        # Without this, a fault that failed midway would excuse all that came after it.
        raise RuntimeError("faults are under way still: nothing cancelled was judged")
    started = set(verdict["started_jobs"])
    for _, submitted in submitted_jobs:
        if submitted.always_refused and submitted.job_id in started:
            violations.append(
                f"REFUSED: {submitted.job_id} ran; answers {submitted.answers}"
            )
        wanted = ("succeeded", "cancelled") if submitted.cancelled else ("succeeded",)
        if submitted.long_running:
            wanted = ("cancelled",)
        if submitted.crashing:
            wanted = ("failed",)
        if submitted.accepted and submitted.state not in wanted:
            violations.append(
                f"LOST: {submitted.job_id} is {submitted.state or 'not answered'}"
            )
    return violations


def run(
    seed: Annotated[int, typer.Option(help="Draws jobs and faults.")] = 1,
    seconds: Annotated[float, typer.Option(help="How long faults come.")] = 20.0,
    instances: Annotated[int, typer.Option(help="How many daemons.")] = 3,
    rolls: Annotated[bool, typer.Option(help="Roll instances in outages.")] = True,
    uneven: Annotated[
        bool, typer.Option(help="Workers and instances of unlike size.")
    ] = False,
):
    """Run the daemons among faults and print one verdict line."""
    folder = Path(tempfile.mkdtemp(prefix="thymefork-soak-"))
    violations, seen = asyncio.run(
        soak(
            seed,
            seconds,
            instances,
            folder,
            with_restarts=rolls,
            is_heterogeneous=uneven,
        )
    )
    for line in violations[:20]:
        typer.echo(line)
    word = "broken" if violations else "kept"
    typer.echo(f"seed {seed}: promises {word}; {seen}; logs in {folder}")
    raise typer.Exit(1 if violations else 0)


def main():
    """Enter from the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
