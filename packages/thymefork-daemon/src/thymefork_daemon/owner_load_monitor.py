"""Sampling of this instance's load as an owner."""

from loguru import logger

from thymefork_net import steady_ms

from .capacity import LoadShedder, OwnerLoad

__all__ = ["OwnerLoadMonitor"]

SAMPLE_INTERVAL_MS = 100.0


class OwnerLoadMonitor:
    """Sample the load while cells are owned, and log changes in load shedding."""

    def __init__(self, *, daemon, link_mbps):
        self._daemon = daemon
        self.load = OwnerLoad(link_mbps=link_mbps)
        self.load_shedder = LoadShedder(load=self.load)
        self._shed_kinds = []
        daemon.metrics.set("owner_tier", int(daemon.capacity.tier))
        daemon.timers.every(SAMPLE_INTERVAL_MS, self._sample)

    def _sample(self):
        daemon = self._daemon
        if not daemon.owners:
            self.load.reset()
        else:
            self.load.sample(
                steady_ms(),
                join_ms=self._join_ms(),
                queued_bytes=daemon.links.queued_bytes,
            )
        self.load_shedder.update()
        self._daemon.metrics.set("owner_load_percent", self.load.percent)
        self._log_shed_kinds()

    def _join_ms(self):
        """Return the duration of a join, as a reference for the store's speed."""
        peers_ms = self._daemon.peers.member_statuses.join_ms()
        local_ms = self._daemon.membership.round_trip_ms
        return local_ms if peers_ms is None else min(local_ms, peers_ms)

    def _log_shed_kinds(self):
        kinds = self.load_shedder.kinds
        if kinds == self._shed_kinds:
            return
        self._shed_kinds = kinds
        pressure = self.load.pressure
        line = logger.bind(
            event="owner_sheds",
            load_percent=self.load.percent,
            lag=round(pressure.lag, 2),
            busy=round(pressure.busy, 2),
            append=round(pressure.append, 2),
            queued=round(pressure.queued, 2),
        )
        line.info("sheds: {}", [kind.name.lower() for kind in kinds])
