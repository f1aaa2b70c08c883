"""Composition of one instance's components."""

import os
import signal
import time

from circuits import BaseComponent, handler
from loguru import logger

from thymefork_machines import AdviceClient, WorkerClient
from thymefork_machines.store import StoreClient
from thymefork_net import Address, Sockets, SteadyTimers
from thymefork_net.http import HttpPool, HttpServer
from thymefork_net.peers import Links

from .capacity import OwnerCapacity
from .configuration_watch import ConfigurationWatch
from .frontend import Frontend
from .gateway import Gateway
from .handover import Handover
from .heard_end_buffer import HeardEndBuffer
from .join_deferral import JoinDeferral
from .layout import WORKERS_PER_CELL, Layout
from .learned_speeds import LearnedSpeeds
from .lease_notice_buffer import LeaseNoticeBuffer
from .limit_part_router import LimitPartRouter
from .membership import Membership
from .operator_server import OperatorServer
from .owned_cells import OwnedCells
from .owner_directory import OwnerDirectory
from .owner_load_monitor import OwnerLoadMonitor
from .peer_dispatcher import PeerDispatcher
from .readiness import Readiness
from .settings_watch import SettingsWatch
from .shutdown import Shutdown
from .standby import Standby
from .telemetry import Metrics
from .worker_list_watch import WorkerListWatch

__all__ = ["Daemon"]

# Default port of Prometheus exporters; `deploy/system.toml` names it.
METRICS_PORT = 9464
HEARTBEAT_MS = 250.0
# Three missed heartbeats.
LINK_SILENCE_MS = 900.0
HOUSEKEEPING_MS = 100.0
LOG_SUMMARY_MS = 1_000.0


class Daemon(BaseComponent):
    """Own the components; one event loop runs them all in a single thread."""

    channel = "daemon"

    def init(self, settings, settings_path, log_writer):
        """Build the components; nothing is sent before the loop runs."""
        self._log_writer = log_writer
        self._former_incarnations_marked = False
        self._incarnation = f"{time.time_ns():x}{os.getpid():x}"
        self.owned_cells = OwnedCells(daemon=self)
        self.timers = SteadyTimers().register(self)
        self._settings_watch = SettingsWatch(
            settings=settings,
            path=settings_path,
            timers=self.timers,
            on_change=self.owned_cells.on_settings,
        )
        self.capacity = _capacity(settings)
        self._shutdown = Shutdown(daemon=self)
        self.sockets = Sockets().register(self)
        self.metrics = Metrics()
        self._build_clients()
        self._build_watches()
        self.heard_end_buffer = HeardEndBuffer(daemon=self)
        self.lease_notices = LeaseNoticeBuffer(daemon=self)
        self.learned_speeds = LearnedSpeeds(daemon=self)
        self.limit_part_router = LimitPartRouter(daemon=self)
        self.peers = PeerDispatcher(daemon=self)
        self.links = Links(
            sockets=self.sockets,
            instance=settings.instance,
            incarnation=self._incarnation,
            address=settings.peer,
            listener=self.peers,
        )
        self.owner_load = OwnerLoadMonitor(daemon=self, link_mbps=settings.link_mbps)
        self.handover = Handover(
            daemon=self, tier=self.capacity.tier, address=settings.peer
        )
        self.readiness = Readiness(daemon=self)
        self.gateway = Gateway(daemon=self)
        self.frontend = Frontend(daemon=self)
        self._ready_server = HttpServer(
            sockets=self.sockets,
            timers=self.timers,
            address=settings.ready,
            on_request=self._on_ready_request,
        )
        OperatorServer(
            daemon=self, address=Address(host=settings.front.host, port=METRICS_PORT)
        )
        self.timers.every(HEARTBEAT_MS, self.peers.send_heartbeats)
        self.timers.every(HOUSEKEEPING_MS, self._run_housekeeping)
        self.timers.every(LOG_SUMMARY_MS, self._log_writer.summarize)

    def _build_clients(self):
        settings = self.settings
        self.store = StoreClient(
            pool=self._pool(8, closes_idle_on_timeout=True),
            address=settings.store.address,
        )
        self.workers = WorkerClient(
            command_pool=self._pool(3),
            poll_pool=self._pool(2),
            on_unreadable=lambda kind: self.metrics.count("odd_answers", kind),
            stop_timeout_ms=lambda: self.settings.bounds.stop_timeout_ms,
        )
        self.advice = AdviceClient(pool=self._pool(2), address=settings.advice)

    def _pool(self, max_per_address, *, closes_idle_on_timeout=False):
        return HttpPool(
            sockets=self.sockets,
            timers=self.timers,
            max_per_address=max_per_address,
            closes_idle_on_timeout=closes_idle_on_timeout,
        )

    def _build_watches(self):
        self._configuration_watch = ConfigurationWatch(
            store=self.store, timers=self.timers, on_change=self._on_configuration
        )
        self.worker_list = WorkerListWatch(
            store=self.store,
            timers=self.timers,
            on_change=self.owned_cells.on_worker_list,
            on_unreadable=lambda: self.metrics.count("odd_answers", "worker_entry"),
        )
        self.layout = Layout(
            store=self.store,
            timers=self.timers,
            max_cells=self.settings.store.partitions,
            worker_list=self.worker_list,
            tier=self.capacity.tier,
            on_known=self._on_cells_known,
        )
        self.membership = Membership(
            store=self.store,
            timers=self.timers,
            settings=self.settings,
            incarnation=self._incarnation,
            on_change=self.owned_cells.update,
            must_wait=JoinDeferral(daemon=self).must_wait,
        )
        self.directory = OwnerDirectory(
            store=self.store,
            timers=self.timers,
            own_id=self.membership.member_id,
            partition_of=self.layout.partition_of,
            on_change=self._on_owners_changed,
            on_removed=self.membership.join_now,
        )
        self.standby = Standby(
            timers=self.timers,
            membership=self.membership,
            directory=self.directory,
            layout=self.layout,
            tier=self.capacity.tier,
            owner_tier=lambda: self.peers.member_statuses.owner_tier(),
            cooldown_until_ms=lambda: self.handover.cooldown_until_ms,
            is_stopping=lambda: self.is_stopping,
        )

    @property
    def settings(self):
        """Return the settings in force."""
        return self._settings_watch.current

    @property
    def configuration(self):
        """Return the configuration in force, or None before it was read."""
        return self._configuration_watch.current

    @property
    def owners(self):
        """Return the owners of this instance's cells, by cell number."""
        return self.owned_cells.owners

    @property
    def is_stopping(self):
        """Return whether this instance was asked to stop."""
        return self._shutdown.has_begun

    @property
    def can_read_store(self):
        """Return whether this instance's last read of the store was answered."""
        return self._configuration_watch.is_readable

    @property
    def store_readable_since_ms(self):
        """Return since when every read of the store was answered, None if not."""
        return self._configuration_watch.readable_since_ms

    # Lifecycle ---------------------------------------------------------------

    @handler("started", channel="*")
    def _on_started(self, manager):
        line = logger.bind(event="started", life=self._incarnation)
        line = line.bind(tier=self.capacity.tier.name, lacks=self.capacity.lacks)
        line.info("instance started")
        if self.settings.commands_by_heartbeat:
            line = logger.bind(event="not_supported", setting="orders")
            line.error(
                "setting orders=heartbeat is not supported, no task can run;"
                " set orders=call"
            )
        self._configuration_watch.start()
        self.directory.refresh()
        self.layout.start()
        self.standby.start()

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, event, number, *args):
        event.stop()
        if number in (signal.SIGTERM, signal.SIGINT):
            self._shutdown.begin()

    @handler("exception", channel="*")
    def _on_exception(self, kind, error, trace, handler=None, fevent=None):
        line = logger.bind(event="internal_error", step=getattr(fevent, "name", ""))
        line.bind(trace="".join(trace)).error("{}: {}", kind.__name__, error)

    def _run_housekeeping(self):
        self.links.close_unresponsive(LINK_SILENCE_MS)
        self.readiness.check()
        self._settings_watch.check_signal()
        if self._shutdown.is_complete():
            self._log_writer.flush_buffer()
            self.stop()

    def _on_cells_known(self):
        self.owned_cells.update()
        self.standby.check()

    def _on_owners_changed(self):
        """Have former incarnations of this instance removed from the group."""
        if not self._former_incarnations_marked:
            self._former_incarnations_marked = True
            self.directory.remove_dead(self.settings.peer)

    def _on_configuration(self, configuration):
        self.frontend.on_configuration(configuration)
        self.owned_cells.on_configuration(configuration)

    def _on_ready_request(self, request):
        request.answer(200 if self.readiness.check() else 503)


def _capacity(settings):
    """Return how well an instance with these settings can own a cell."""
    return OwnerCapacity(
        cores=settings.speed_cores,
        link_mbps=settings.link_mbps,
        memory_mb=settings.memory_mb,
        cell_workers=WORKERS_PER_CELL,
    )
