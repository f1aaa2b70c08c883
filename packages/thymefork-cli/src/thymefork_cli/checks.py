"""Checks of an operators' file beyond its types."""

from collections import Counter

from thymefork_core.exceptions import ConfigError

__all__ = ["check_file"]


def check_file(file, name):
    """Check names and references.

    Raises: ConfigError with the file, the field's path and the fix.
    """
    problems = [*_duplicates(file), *_references(file)]
    if problems:
        raise ConfigError(f"{name}: {'; '.join(problems)}", step="check")


def _duplicates(file):
    for path in ("workers", "services", "teams", "standing"):
        counts = Counter(item.name for item in getattr(file, path))
        for item, count in counts.items():
            if count > 1:
                yield f"{item} is named {count} times; keep one @ $.{path}"
    kinds = Counter(policy.kind for policy in file.policies)
    for kind, count in kinds.items():
        if count > 1:
            yield f"{kind} has {count} policies; keep one @ $.policies"


def _references(file):
    teams = {team.name for team in file.teams}
    for index, worker in enumerate(file.workers):
        if worker.hall not in file.halls:
            yield f"{worker.hall} is no hall; add it @ $.workers[{index}].hall"
    for index, work in enumerate(file.standing):
        if work.hall not in file.halls:
            yield f"{work.hall} is no hall; add it @ $.standing[{index}].hall"
        if work.team not in teams:
            yield f"{work.team} is no team; add it @ $.standing[{index}].team"
