"""Load descriptions for simulations, read from JSON files."""

from pathlib import Path

import orjson
from attrs import frozen

from thymefork_cells.specs import AdvicePolicy

__all__ = ["AccountLoad", "JobKind", "Load", "read_load"]


@frozen(kw_only=True)
class JobKind:
    """Describe one kind of job by the means of its random values.

    Units: milliseconds, thousandths of a core.
    """

    name: str
    jobs_per_s: float
    width: float
    cpu_milli: int
    work_ms: float
    stretch: float
    target_ms: float
    worth: float
    steps: int = 1
    priority: int = 0
    gang_share: float = 0.0
    checkpoints: bool = False
    images: int = 18
    advice: AdvicePolicy | None = None
    allowed_share: float = 1.0


@frozen(kw_only=True)
class AccountLoad:
    """Describe an account: its fraction of all jobs, and when it floods.

    An empty `kinds` means all kinds of jobs; `width_factor` multiplies the width of
    its steps.
    """

    name: str
    part: float
    weight: float = 0.0
    limit_cpu_milli: int = 0
    flood_factor: float = 1.0
    flood_from_s: float = 0.0
    flood_until_s: float = 0.0
    kinds: tuple[str, ...] = ()
    width_factor: float = 1.0

    def sends(self, kind):
        """Return whether the account sends jobs of a kind."""
        return not self.kinds or kind.name in self.kinds

    def part_at(self, now_s):
        """Return the account's fraction of jobs at a time, including floods."""
        floods = self.flood_from_s <= now_s < self.flood_until_s
        return self.part * (self.flood_factor if floods else 1.0)


@frozen(kw_only=True)
class Load:
    """Describe a deployment and its load."""

    workers: int
    cpu_milli: tuple[int, ...]
    slowness: tuple[float, ...]
    kinds: tuple[JobKind, ...]
    accounts: tuple[AccountLoad, ...]
    seconds: float
    advisers: int | None = None
    estimate_error: float = 0.3
    cut_share: float = 0.0
    cut_at_s: float = 0.0


def read_load(path):
    """Read a load from its JSON file.

    Raises: TypeError for unknown fields.
    """
    document = orjson.loads(Path(path).read_bytes())
    kinds = []
    for row in document.pop("kinds"):
        advice = row.pop("advice", None)
        advice = AdvicePolicy(**advice) if advice else None
        kinds.append(JobKind(**row, advice=advice))
    accounts = [AccountLoad(**row) for row in document.pop("accounts")]
    sizes, slowness = document.pop("cpu_milli"), document.pop("slowness")
    return Load(
        **document,
        kinds=tuple(kinds),
        accounts=tuple(accounts),
        cpu_milli=tuple(sizes),
        slowness=tuple(slowness),
    )
