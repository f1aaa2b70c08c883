"""How many parts of its limit an account's work in a cell takes."""

from ..specs import LimitParts

__all__ = ["PartNeeds"]

NONE = LimitParts()


class PartNeeds:
    """Express what runs and what waits in parts; of accounts with a known limit."""

    def __init__(self, *, context, ledger, quotas):
        self._context = context
        self._ledger = ledger
        self._quotas = quotas

    def has_known_limit(self, name):
        """Tell whether an account's limit is known."""
        return self._quotas.known_limit(name) is not None

    def used(self, name):
        """Return what its runs take, until they are surely gone."""
        return self._parts_of(name, self._context.usage_of(name))

    def wanted(self, name):
        """Return what its runs take and its work whose turn has come."""
        demand = self._quotas.demands.get(name)
        if demand is None:
            return self.used(name)
        return self._parts_of(name, demand.wanted)

    def is_satisfied(self, name):
        """Tell whether all that waits may start by what is held."""
        wanted = self._quotas.demands[name].wanted
        allowed = self._ledger.allowed(name, self._quotas.known_limit(name))
        return (
            (not allowed.cpu_milli or wanted.cpu_milli <= allowed.cpu_milli)
            and (not allowed.memory_mb or wanted.memory_mb <= allowed.memory_mb)
            and (
                not allowed.accelerators or wanted.accelerators <= allowed.accelerators
            )
        )

    def required_to_start(self, name):
        """Return with what a step could begin that can't for want of parts.

        None where none waits. What doesn't fit the whole limit beside what runs here
        has to wait for that, and needs nothing from others.
        """
        demand = self._quotas.demands.get(name)
        if demand is None or demand.first_blocked is None:
            return NONE
        parts = self._parts_of(name, demand.first_blocked)
        return NONE if parts.minus(self.whole) else parts

    def unused(self, name):
        """Return what is held beyond what runs."""
        return self._ledger.held(name).minus(self.used(name))

    def idle(self, name):
        """Return what is held beyond what runs and what waits."""
        return self.unused(name).minus(self.wanted(name).minus(self.used(name)))

    @property
    def whole(self):
        """Return all parts of a limit."""
        return LimitParts.all_of(self._ledger.whole)

    def _parts_of(self, name, room):
        limit = self._quotas.known_limit(name)
        return LimitParts.from_resources(room, limit, self._ledger.whole)
