"""Semantic checks of an operators' file."""

from collections import Counter

from thymefork_core.exceptions import ConfigError

__all__ = ["check_file"]


def check_file(file, name):
    """Check for duplicate names and undefined references.

    Raises: ConfigError with the file, the paths of the fields and the fixes.
    """
    problems = [*_duplicates(file), *_references(file)]
    if problems:
        raise ConfigError(f"{name}: {'; '.join(problems)}", step="check")


def _duplicates(file):
    for path in ("workers", "services", "teams", "standing"):
        counts = Counter(item.name for item in getattr(file, path))
        for item, count in counts.items():
            if count > 1:
                yield f"{item} is defined {count} times; keep one @ $.{path}"
    kinds = Counter(policy.kind for policy in file.policies)
    for kind, count in kinds.items():
        if count > 1:
            yield f"{kind} has {count} policies; keep one @ $.policies"


def _references(file):
    teams = {team.name for team in file.teams}
    for index, worker in enumerate(file.workers):
        if worker.hall not in file.halls:
            yield f"hall {worker.hall} is not defined; add it @ $.workers[{index}].hall"
    for index, work in enumerate(file.standing):
        if work.hall not in file.halls:
            yield f"hall {work.hall} is not defined; add it @ $.standing[{index}].hall"
        if work.team not in teams:
            yield f"team {work.team} is not defined; add it @ $.standing[{index}].team"
