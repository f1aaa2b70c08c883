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
    STEADY,
    AccountChanges,
    Accounts,
    GuestCaller,
    StrangerCaller,
)
from .callers import Caller
from .crashing import CrashingCaller
from .faults import FaultPlan
from .fleet import Fleet
from .lasting import LastingCaller
from .rolls import OutageRolls
from .rooms import RoomChanges
from .spoiling import EntrySpoiler

__all__ = ["main", "soak"]

# The daemons agree on their cells within about four seconds of the start.
SETTLE_S = 5.0
# After the last fault, every accepted job has to end within this time.
FINISH_S = 30.0
WORKERS = 6
CALLERS = 4
LASTING_CALLERS = 6
# What was cancelled last is judged only after contact, cancelling and stop; and a bit.
MARGIN_S = 6.5


async def soak(
    seed,
    seconds,
    instances,
    folder,
    *,
    with_accounts=True,
    with_rolls=False,
    is_uneven=False,
):
    """Run one soak; return what it broke, and a line on what it saw."""
    rng = random.Random(seed)
    fleet = Fleet(
        instances=instances,
        workers=WORKERS,
        seed=seed,
        folder=folder,
        accounts=Accounts() if with_accounts else None,
        is_uneven=is_uneven,
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
        rolls = OutageRolls(
            fleet=fleet, random=random.Random(f"{seed} rolls"), workers=WORKERS
        )
        plan = FaultPlan(
            fleet=fleet,
            random=random.Random(rng.random()),
            workers=WORKERS,
            rolls=rolls if with_rolls else None,
        )
        lasting = [
            LastingCaller(
                fleet=fleet,
                random=random.Random(f"{seed} lasting {number}"),
                account=STEADY if with_accounts else "",
            )
            for number in range(LASTING_CALLERS)
        ]
        crashing = CrashingCaller(
            fleet=fleet,
            random=random.Random(f"{seed} crashing"),
            account=STEADY if with_accounts else "",
        )
        rooms = RoomChanges(
            fleet=fleet, random=random.Random(f"{seed} rooms"), workers=WORKERS
        )
        spoiler = EntrySpoiler(
            fleet=fleet, random=random.Random(f"{seed} spoiled"), workers=WORKERS
        )
        askers = _askers(fleet, seed) if with_accounts else []
        kept = [asyncio.ensure_future(caller.work()) for caller in lasting]
        until = SETTLE_S + seconds
        await asyncio.gather(
            plan.work(until, now),
            plan.work_outages(until, now, random.Random(f"{seed} outages")),
            crashing.work(until, now),
            rooms.work(until, now),
            spoiler.work(until, now),
            *(caller.work(until, now) for caller in callers),
            *(asker.work(until, now) for asker in askers),
        )
        (folder / "faults.txt").write_text("\n".join([*plan.done, ""]))
        callers += [*lasting, crashing]
        broken = await _leave(lasting, kept)
        await asyncio.sleep(MARGIN_S)
        broken += await _judge(fleet, callers, now)
        broken += [line for asker in askers for line in getattr(asker, "broken", ())]
    finally:
        fleet.stop()
    stories = [story for caller in callers for story in caller.stories]
    accepted = sum(story.accepted for story in stories)
    return broken, f"{len(stories)} jobs, {accepted} accepted, {len(plan.done)} faults"


def _askers(fleet, seed):
    """Return what changes the accounts, and who asks by keys that may not serve."""
    parts = (AccountChanges, GuestCaller, StrangerCaller)
    return [
        part(fleet=fleet, random=random.Random(f"{seed} {part.__name__}"))
        for part in parts
    ]


async def _leave(lasting, kept):
    """End the lasting jobs; return whether some could not be ended."""
    for caller in lasting:
        caller.leave()
    ended, stuck = await asyncio.wait(kept, timeout=FINISH_S)
    for task in ended:
        task.result()  # a fault of the soak's own is raised here
    return [f"ACKS: {len(stuck)} lasting jobs are not ended"] if stuck else []


async def _judge(fleet, callers, now):
    stories = [(caller, story) for caller in callers for story in caller.stories]
    pending = [row for row in stories if row[1].accepted]
    until = now() + FINISH_S
    while pending and now() < until:
        left = []
        for caller, story in pending:
            story.state = await caller.read_state(story)
            if story.state not in ("succeeded", "cancelled", "failed"):
                left.append((caller, story))
        pending = left
        await asyncio.sleep(0.3)
    verdict = await fleet.steer("verdict", {})
    broken = list(verdict["broken"])
    if verdict["faults"]:
        # Without this, a fault that failed midway would excuse all that came after it.
        raise RuntimeError("faults are under way still: nothing cancelled was judged")
    started = set(verdict["started_jobs"])
    for _, story in stories:
        if story.refused_only and story.job_id in started:
            broken.append(f"REFUSED: {story.job_id} ran; answers {story.answers}")
        wanted = ("succeeded", "cancelled") if story.cancelled else ("succeeded",)
        if story.lasting:
            wanted = ("cancelled",)
        if story.crashing:
            wanted = ("failed",)
        if story.accepted and story.state not in wanted:
            broken.append(f"LOST: {story.job_id} is {story.state or 'not answered'}")
    return broken


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
    broken, seen = asyncio.run(
        soak(seed, seconds, instances, folder, with_rolls=rolls, is_uneven=uneven)
    )
    for line in broken[:20]:
        typer.echo(line)
    word = "broken" if broken else "kept"
    typer.echo(f"seed {seed}: promises {word}; {seen}; logs in {folder}")
    raise typer.Exit(1 if broken else 0)


def main():
    """Enter from the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
