"""Which instance should own what: highest random weight, with a bounded share."""

from math import ceil

from thymefork_core.hashing import stable_hash

__all__ = ["balanced_owners", "preferred_owner"]


def preferred_owner(key, instances):
    """Return the instance with the highest weight for a key, or None."""
    return max(sorted(instances), key=lambda i: _weight(key, i), default=None)


def balanced_owners(workers, instances):
    """Return each worker's instance; none gets more than an even share, rounded up.

    Every instance computes the same from the same members; where they see different
    members, only the log's order counts.
    """
    instances = sorted(instances)
    if not instances:
        return {}
    most = ceil(len(workers) / len(instances))
    load = dict.fromkeys(instances, 0)
    owners = {}
    for worker in sorted(workers):
        open_to = [i for i in instances if load[i] < most]
        owner = max(open_to, key=lambda i: _weight(worker, i))
        owners[worker] = owner
        load[owner] += 1
    return owners


def _weight(key, instance):
    return stable_hash(f"{key}|{instance}")
