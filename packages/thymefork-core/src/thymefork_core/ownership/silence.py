"""How long each instance of the hall has been silent, in the log and on links."""

__all__ = ["SilenceWatch"]


class SilenceWatch:
    """Tell which owners may be claimed, and whether all peers are heard."""

    def __init__(self, *, lease_ms, grace_ms):
        self.patience_ms = lease_ms + grace_ms
        self.lease_ms = lease_ms
        self._log_heard = {}
        self._link_heard = {}
        self._link_echoed = {}
        self._refused = {}

    def heard_in_log(self, instance, mono_ms):
        """Note a record of an instance, read live."""
        self._log_heard[instance] = mono_ms

    def heard_on_link(self, instance, mono_ms):
        """Note a heartbeat of an instance."""
        self._link_heard[instance] = mono_ms

    def restart(self, mono_ms):
        """Start all waits anew, after a pause or a gap in reading the log."""
        for instance in self._log_heard:
            self._log_heard[instance] = mono_ms

    def may_claim(self, instance, mono_ms):
        """Tell whether an owner was silent for its lease and the grace."""
        first = self._log_heard.setdefault(instance, mono_ms)
        link = self._link_heard.get(instance, -self.patience_ms)
        return mono_ms - first > self.patience_ms and mono_ms - link > self.patience_ms

    def echoed(self, instance, sent_mono_ms):
        """Note that an instance has heard a heartbeat that was sent then."""
        before_ms = self._link_echoed.get(instance, sent_mono_ms)
        self._link_echoed[instance] = max(before_ms, sent_mono_ms)

    def has_echoed(self, instance, since_mono_ms):
        """Tell whether an instance has heard a heartbeat that was sent later."""
        return self._link_echoed.get(instance, -1) > since_mono_ms

    def refused(self, instance, mono_ms):
        """Note that an instance's machine answered that no process listens."""
        self._refused[instance] = mono_ms

    def cannot_claim(self, instance, mono_ms):
        """Tell whether an instance surely does not claim from this one now.

        Either it has heard this instance within the lease, or no process of it ran
        within the lease: a new one would wait longer than that before it claims.
        """
        refused_ms = self._refused.get(instance)
        if refused_ms is not None and mono_ms - refused_ms <= self.lease_ms:
            return True
        return self.is_heard_by(instance, mono_ms)

    def is_heard_by(self, instance, mono_ms):
        """Tell whether an instance surely heard this one within the lease.

        It won't claim from what it hears, so this is a lease through the link; it
        counts from the send of the heartbeat, which a pause can't freshen.
        """
        sent_ms = self._link_echoed.get(instance)
        return sent_ms is not None and mono_ms - sent_ms <= self.lease_ms
