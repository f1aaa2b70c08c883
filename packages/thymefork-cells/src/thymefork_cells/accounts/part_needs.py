"""Limit parts that an account's work in a cell needs."""

from ..specs import LimitParts

__all__ = ["PartNeeds"]

NONE = LimitParts()


class PartNeeds:
    """Convert used and wanted resources to limit parts; the limit must be known."""

    def __init__(self, *, context, ledger, quotas):
        self._context = context
        self._ledger = ledger
        self._quotas = quotas

    def has_known_limit(self, name):
        """Return whether an account's limit is known."""
        return self._quotas.known_limit(name) is not None

    def used(self, name):
        """Return the parts used by runs that may still exist."""
        return self._parts_of(name, self._context.usage_of(name))

    def wanted(self, name):
        """Return the parts used by runs and needed by ready steps."""
        demand = self._quotas.demands.get(name)
        if demand is None:
            return self.used(name)
        return self._parts_of(name, demand.wanted)

    def is_satisfied(self, name):
        """Return whether the parts held let all ready tasks start."""
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
        """Return the parts with which the first blocked step could start.

        Zero if no step is blocked, or if the step would exceed the whole limit beside
        the runs here: it has to wait for those.
        """
        demand = self._quotas.demands.get(name)
        if demand is None or demand.first_blocked is None:
            return NONE
        parts = self._parts_of(name, demand.first_blocked)
        return NONE if parts.minus(self.whole) else parts

    def unused(self, name):
        """Return the held parts that no run uses."""
        return self._ledger.held(name).minus(self.used(name))

    def idle(self, name):
        """Return the held parts that neither runs nor ready steps need."""
        return self.unused(name).minus(self.wanted(name).minus(self.used(name)))

    @property
    def whole(self):
        """Return the parts of a whole limit."""
        return LimitParts.all_of(self._ledger.whole)

    def _parts_of(self, name, resources):
        limit = self._quotas.known_limit(name)
        return LimitParts.from_resources(resources, limit, self._ledger.whole)
