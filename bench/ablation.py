"""Disable one mechanism in a copy of the sources, to measure its effect.

    python -m bench.ablation NAME DIR

patches the sources below DIR, which must be a copy of this repository. It fails if the
code to patch is not found.
"""

from pathlib import Path

import typer
from attrs import frozen

_CELLS = "packages/thymefork-cells/src/thymefork_cells"
_DAEMON = "packages/thymefork-daemon/src/thymefork_daemon"
_MACHINES = "platform/src/thymefork_machines"


class AblationError(Exception):
    """Raised if a mechanism cannot be disabled in these sources."""


@frozen(kw_only=True)
class Patch:
    """Replace a text that occurs exactly once in a file."""

    path: str
    old: str
    new: str

    def apply(self, root):
        """Patch the file below a root folder."""
        file = Path(root) / self.path
        text = file.read_text(encoding="utf-8")
        if text.count(self.old) != 1:
            raise AblationError(f"{self.path} must contain exactly once: {self.old!r}")
        file.write_text(text.replace(self.old, self.new), encoding="utf-8")


def _patch_return(path, signature, value):
    """Return a patch that makes a method only return a value."""
    return Patch(path=path, old=signature, new=f"{signature}\n        return {value}")


MECHANISMS = {
    "reservations": _patch_return(
        f"{_CELLS}/placement/reservations.py",
        "def _waits_for_room(self, step, now_ms):",
        "False",
    ),
    "preemption": _patch_return(
        f"{_CELLS}/placement/preemptor.py",
        "def make_room(self, step, workers, wanted, now_ms):",
        "False",
    ),
    "copies": _patch_return(
        f"{_CELLS}/placement/step_order.py",
        "def startable(self, step, now_ms):",
        "step.waiting",
    ),
    "hall_preference": Patch(
        path=f"{_CELLS}/placement/worker_ranking.py",
        old="OTHER_HALL_PENALTY = 1.6",
        new="OTHER_HALL_PENALTY = 0.0",
    ),
    "health_pauses": Patch(
        path=f"{_CELLS}/state/worker_health.py",
        old="        self.pause(now_ms)\n        return True",
        new="        return False",
    ),
    "slow_pauses_and_moves": _patch_return(
        f"{_CELLS}/workers/progress_monitor.py",
        "def _check_speed(self, worker, now_ms):",
        "None",
    ),
    "standstill_stops": _patch_return(
        f"{_CELLS}/workers/progress_monitor.py", "def _is_stalled(self, run):", "False"
    ),
    "pacing": _patch_return(
        f"{_CELLS}/workers/pacing.py", "def check(self, now_ms):", "None"
    ),
    "learned_times": _patch_return(
        f"{_CELLS}/estimates/image_durations.py",
        "def learn(self, image, took_ms):",
        "None",
    ),
    "advice_ahead": _patch_return(
        f"{_CELLS}/advice/call_queue.py",
        "def _is_near(self, step, cost_ms, now_ms):",
        "step.ready",
    ),
    "advice_spread": _patch_return(
        f"{_DAEMON}/owner/advice_dispatcher.py", "def update(self, links):", "None"
    ),
    "look_before_stop": Patch(
        path=f"{_CELLS}/workers/commands.py",
        old="            self._poller.suspect_hall(run.worker, now_ms)\n",
        new="            self._poller.suspect_hall(run.worker, now_ms)\n"
        '            self._lifecycle.stop(run, "its start was not answered")\n',
    ),
    "quick_silence": Patch(
        path=f"{_MACHINES}/worker_client.py",
        old="MIN_TIMEOUT_MS = 60.0",
        new="MIN_TIMEOUT_MS = 300.0",
    ),
    "owners_taken_out": _patch_return(
        f"{_DAEMON}/owner_watch.py", "def _evict(self, address, reason):", "None"
    ),
    "neighbour_links": Patch(
        path=f"{_DAEMON}/peer_dispatcher.py",
        old="NEIGHBOUR_LINKS = 3",
        new="NEIGHBOUR_LINKS = 0",
    ),
    "readiness_by_owner": Patch(
        path=f"{_DAEMON}/readiness.py",
        old="        cells = range(daemon.layout.cells)\n",
        new="        return True\n        cells = range(daemon.layout.cells)\n",
    ),
    "holding_for_successor": Patch(
        path=f"{_DAEMON}/gateway.py",
        old="FIND_NEXT_OWNER_MS = 1_600.0",
        new="FIND_NEXT_OWNER_MS = FIND_OWNER_MS",
    ),
    "outage_quorum": Patch(
        path=f"{_DAEMON}/owner/cell_owner.py",
        old="        return self._ownership.is_possible() "
        "and self.cell.quorum.is_held(steady_ms())",
        new="        return False",
    ),
    "lingering": Patch(
        path=f"{_DAEMON}/owner/scheduling_loop.py",
        old="LINGER_MS = 30.0",
        new="LINGER_MS = 0.0",
    ),
}


def main(name: str, root: str):
    """Disable a mechanism in the sources below a root folder."""
    if name not in MECHANISMS:
        raise AblationError(
            f"unknown mechanism {name!r}, none of {', '.join(MECHANISMS)}"
        )
    MECHANISMS[name].apply(root)


if __name__ == "__main__":
    typer.run(main)
