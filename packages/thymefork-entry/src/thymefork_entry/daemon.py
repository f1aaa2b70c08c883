"""The daemon: all components of one entry instance."""

import signal

from circuits import BaseComponent, Timer, handler
from circuits.core.pollers import EPoll
from loguru import logger

from thymefork_core.node import messages as m
from thymefork_platform import (
    BRAIN,
    SWEEP_S,
    Address,
    InstanceList,
    ListReader,
    LogReader,
    LogWriter,
    WorkerClient,
    deliver,
    sweep,
)

from .brain import Brain
from .front_door import FrontDoor
from .leaving import Leaving
from .links import Links
from .metrics import Metrics

__all__ = ["Daemon"]

EXIT_STOPPED = 0
EXIT_CUT_SHORT = 3


class Daemon(BaseComponent):
    """Register the components and end the process when the node says so."""

    channel = "daemon"

    def init(self, settings):
        """Build all components from the settings."""
        self._stops = 0
        self._peer_seed = settings.peer_seed
        EPoll().register(self)
        self.exit_code = EXIT_STOPPED
        prefix = f"thymefork.{settings.name}"
        self.metrics = Metrics(place=settings.statsd, prefix=prefix)
        self.brain = Brain(settings, self.metrics).register(self)
        self.front = FrontDoor(settings, self.metrics, self.brain.node).register(self)
        self.leaving = Leaving(self.front, self._end).register(self)
        self.links = Links(
            settings.peers, settings.name, settings.peer_message_bytes, self.metrics
        ).register(self)
        self.workers = WorkerClient(self.front).register(self)
        self.front.workers = self.workers
        log = _address(settings.log_service)
        self.writer = LogWriter(log, settings.hall).register(self)
        self.reader = LogReader(
            log, settings.hall, self.brain.node.is_waiting
        ).register(self)
        self.lists = ListReader(
            _address(settings.instance_list),
            settings.name,
            settings.hall,
            self._on_list,
        ).register(self)

        self.front.traffic = self._traffic
        Timer(SWEEP_S, sweep(), "*", persist=True).register(self)

    def _traffic(self):
        """Count control bytes, both ways, and messages to peers."""
        pools = (
            self.writer.pool,
            self.reader.pool,
            self.lists.pool,
            self.workers.control,
        )
        control = sum(map(_both_ways, pools))
        links = self.links.sent_bytes + self.links.received_bytes
        return {
            "control_bytes": control + links,
            "link_bytes": links,
            "log_write_bytes": _both_ways(self.writer.pool),
            "log_read_bytes": _both_ways(self.reader.pool),
            "list_bytes": _both_ways(self.lists.pool),
            "worker_bytes": _both_ways(self.workers.control),
            "messages": self.links.sent_messages,
        }

    @handler("started", channel="*")
    def _on_started(self, manager):
        """Know the seed's peers until the instance list is read."""
        if self._peer_seed:
            self._on_list(InstanceList(version=-1, instances=self._peer_seed))
            message = m.ListRead(instances=self._peer_seed, workers=())
            self.fire(deliver(message), BRAIN)

    def _on_list(self, found):
        self.workers.on_list(found)
        self.links.on_list(found)

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, event, number, *args):
        event.stop()
        if number not in (signal.SIGTERM, signal.SIGINT):
            return
        self._stops += 1
        if self._stops > 1:
            logger.warning("second stop signal: leaving what is open")
            self.exit_code = EXIT_CUT_SHORT
            self.stop()
            return
        self.fire(deliver(m.StopSignal()), BRAIN)

    @handler("exception", channel="*")
    def _on_exception(self, kind, error, trace, handler=None, fevent=None):
        """Log an error that a handler did not take, and count it."""
        self.metrics.increment("internal_error")
        line = logger.bind(step=getattr(fevent, "name", ""), trace="".join(trace))
        line.error("{}: {}", kind.__name__, error)

    def _end(self, all_sent):
        if not all_sent:
            self.exit_code = EXIT_CUT_SHORT
        self.stop()


def _both_ways(pool):
    return pool.sent_bytes + pool.received_bytes


def _address(place):
    return Address(host=place.host, port=place.port)
