"""Owner of one cell on this instance."""

from loguru import logger

from thymefork_cells import effects as fx
from thymefork_net import steady_ms

from .advice_dispatcher import AdviceDispatcher
from .append_pipeline import AppendPipeline
from .cell_loading import load_cell
from .cell_partition import CellPartition
from .command_sender import CommandSender
from .effect_executor import EffectExecutor
from .ownership import Ownership
from .request_handler import RequestHandler
from .scheduling_loop import SchedulingLoop
from .succession import Succession
from .takeover import Takeover

__all__ = ["CellOwner"]

# Delay between checks whether the configuration and the worker list were read.
INPUTS_RETRY_DELAY_MS = 30.0


class CellOwner:
    """Take over a cell and execute its effects until the ownership ends.

    `cell` is the loaded Cell, None until the takeover is complete.
    """

    def __init__(self, *, cell_index, epoch, daemon):
        self.cell_index = cell_index
        self.epoch = epoch
        self.cell = None
        self._daemon = daemon
        self._started_ms = steady_ms()
        self._ended = False
        self._is_fence_refused = False
        self._loop = None
        self._request_handler = None
        partition = daemon.layout.partition_of(cell_index)
        self._ownership = Ownership(
            membership=daemon.membership, partition=partition, epoch=epoch
        )
        self._partition = CellPartition(
            store=daemon.store, cell=cell_index, partition=partition, epoch=epoch
        )
        self._succession = Succession(cell_index=cell_index, epoch=epoch, daemon=daemon)
        self._takeover = self._build_takeover()
        self._pipeline = self._build_pipeline()
        self._advice_dispatcher = self._build_advice_dispatcher()
        self._executor = EffectExecutor(
            cell_index=cell_index,
            metrics=daemon.metrics,
            advice_dispatcher=self._advice_dispatcher,
            command_sender=CommandSender(owner=self, client=daemon.workers),
            on_ends_stored=self._on_ends_stored,
            announce_ends=self._succession.announce_run_ends,
            announce_leases=self._succession.announce_leases,
            sheds=daemon.owner_load.load_shedder.sheds,
            announce_speeds=self._succession.announce_speeds,
            send_limit_part_message=lambda message: daemon.limit_part_router.send(
                message
            ),
        )

    def _build_takeover(self):
        return Takeover(
            partition=self._partition,
            timers=self._daemon.timers,
            owner=self._daemon.settings.instance,
            on_loaded=self._on_loaded,
            on_fenced=self._on_fence_refused,
        )

    def _build_pipeline(self):
        return AppendPipeline(
            partition=self._partition,
            timers=self._daemon.timers,
            metrics=self._daemon.metrics,
            last_sequence=self._takeover.sequence,
            may_write=self._ownership.is_certain,
            on_ownership_lost=self.drop_ownership,
        )

    def _build_advice_dispatcher(self):
        return AdviceDispatcher(
            client=self._daemon.advice,
            timers=self._daemon.timers,
            metrics=self._daemon.metrics,
            instance=self._daemon.settings.instance,
            start_fraction=self.cell_index / max(1, self._daemon.layout.cells),
            on_answer=self._on_advice,
            notify_withdrawn=lambda *call: self._daemon.peers.withdraw_advice(*call),
        )

    @property
    def metrics(self):
        """Return the metrics of this instance."""
        return self._daemon.metrics

    @property
    def is_serving(self):
        """Return whether requests can be handled here.

        While the store is unreachable no other instance can take the cell over, so the
        owner keeps answering from stored state and refuses all other requests.
        """
        return self._is_active and self._ownership.is_possible()

    @property
    def has_unstored_records(self):
        """Return whether records wait to be stored or are in flight."""
        if self._pipeline.is_busy:
            return True
        return self._is_active and not self.cell.journal.is_empty

    @property
    def is_store_responding(self):
        """Return whether the store answers appends, as far as known here."""
        return self._pipeline.is_store_responding

    @property
    def is_store_unavailable(self):
        """Return whether the store takes no appends, rather than being slow."""
        return self._pipeline.is_store_unavailable

    @property
    def _is_active(self):
        """Return whether the cell was taken over and not ended yet."""
        return self.cell is not None and not self._ended

    def start(self):
        """Start the takeover."""
        self._event_logger("takeover_begins").info("taking over the cell")
        self._takeover.start()

    def end(self, reason):
        """End the ownership."""
        if self._ended:
            return
        self._ended = True
        self._takeover.abandon()
        self._pipeline.end()
        self._advice_dispatcher.end()
        if self._loop is not None:
            self._loop.end()
            self._request_handler.reject_unsent()
        if not self._is_fence_refused:
            self._succession.announce_end(self.cell)
        self._daemon.metrics.count("ownership", "lost")
        self._event_logger("ownership_lost").info("ownership lost: {}", reason)

    def _on_fence_refused(self):
        """End; another owner may use the epoch, for which this one can't speak."""
        self._is_fence_refused = True
        self.drop_ownership("fenced")

    def drop_ownership(self, reason):
        """End the ownership, since another instance owns the cell."""
        self.end(reason)
        self._daemon.owned_cells.on_ownership_lost(self)

    def _event_logger(self, event):
        return logger.bind(event=event, cell=self.cell_index, epoch=self.epoch)

    # Permissions -------------------------------------------------------------

    def may_renew_leases(self):
        """Return whether leases may be renewed and runs stopped."""
        if self._ended:
            return False
        if self._ownership.is_certain():
            return True
        return self._ownership.is_possible() and self.cell.quorum.is_held(steady_ms())

    def may_start_runs(self):
        """Return whether runs may be started."""
        return not self._ended and self._ownership.is_certain()

    def may_poll(self):
        """Return whether workers may be polled; a poll alone renews no lease."""
        return not self._ended

    # Taking over -------------------------------------------------------------

    def _on_loaded(self, records):
        if self._ended:
            return
        daemon = self._daemon
        if daemon.configuration is None or not daemon.worker_list.is_complete:
            daemon.timers.after(INPUTS_RETRY_DELAY_MS, lambda: self._on_loaded(records))
            return
        try:
            self._serve(records)
        except Exception:
            self._on_takeover_failed()
        else:
            self._loop.run_cycle()

    def _on_takeover_failed(self):
        """Let another instance take over a cell that can't be served here."""
        self._daemon.metrics.count("ownership", "takeover_failed")
        line = self._event_logger("takeover_failed").opt(exception=True)
        line.error("takeover failed: the cell can't be served here")
        self.drop_ownership("its takeover failed")

    def _serve(self, records):
        now_ms = steady_ms()
        self.cell = cell = load_cell(
            daemon=self._daemon,
            cell_index=self.cell_index,
            epoch=self.epoch,
            records=records,
            now_ms=now_ms,
        )
        self._request_handler = RequestHandler(
            cell=cell,
            ownership=self._ownership,
            pipeline=self._pipeline,
            metrics=self._daemon.metrics,
            timers=self._daemon.timers,
            apply_effects=self.apply_effects,
        )
        self._loop = SchedulingLoop(
            cell=cell,
            ownership=self._ownership,
            pipeline=self._pipeline,
            executor=self._executor,
            timers=self._daemon.timers,
            worker_list_as_of_ms=lambda: self._daemon.worker_list.as_of_ms,
            advice_slots=self._advice_dispatcher.current_slots,
            stop_slots=lambda: self._daemon.owned_cells.stop_slots,
            load_monitor=self._daemon.owner_load,
        )
        cell.registry.update(self._daemon.worker_list.entries.values(), now_ms=now_ms)
        self._succession.inherit(cell, now_ms)
        self._daemon.metrics.count("ownership", "gained")
        self._daemon.metrics.observe("takeover", now_ms - self._started_ms)
        self._event_logger("ownership_gained").bind(
            records=len(records),
            jobs=len(cell.context.jobs),
            unlisted_workers=cell.registry.unlisted_count,
            after_ms=round(now_ms - self._started_ms),
        ).info("serving the cell")
        self.on_links_changed()
        self._daemon.owned_cells.on_serving()

    # Inputs ------------------------------------------------------------------

    def request(self, kind, queue, job_id, data, respond, **options):
        """Handle a caller's request; `respond` takes the reply."""
        if not self.is_serving:
            respond(fx.Reply(reply_to=None, outcome=fx.Outcome.NOT_OWNER))
            return
        self._request_handler.handle(kind, queue, job_id, data, respond, **options)
        self.apply_effects()

    def on_worker_list(self):
        """Apply an update of the platform's worker list."""
        if self._is_active:
            entries = self._daemon.worker_list.entries.values()
            self.cell.registry.update(entries, now_ms=steady_ms())
            self.apply_effects()

    def on_configuration(self, configuration):
        """Apply a new configuration, which may name further services."""
        if self.cell is not None:
            self.cell.on_configuration(configuration)
            self.on_worker_list()

    def on_links_changed(self):
        """Apply a change in the open links to other instances."""
        if self._is_active:
            self._advice_dispatcher.update(self._daemon.links.incoming)

    def on_advice_reply(self, reply):
        """Handle another instance's reply; return whether this cell made the call."""
        return self._advice_dispatcher.on_reply(reply)

    def _on_advice(self, step, worker_ids, tickets, valid_ms):
        if self._is_active:
            advice = self.cell.advice
            advice.on_answer(step, worker_ids, tickets, valid_ms, now_ms=steady_ms())
            self.apply_effects()

    def _on_ends_stored(self, worker, last_end, *, now_ms):
        self.cell.poller.on_ends_stored(worker, last_end, now_ms=now_ms)

    def announce_ends(self):
        """Announce all run ends that are not stored to possible next owners."""
        if self._is_active:
            self.cell.unstored_ends.announce(steady_ms())
            self.apply_effects()

    def take_heard_ends(self, ends):
        """Apply run ends that a previous owner has received."""
        if self._is_active:
            self.cell.inherited_ends.apply(ends, now_ms=steady_ms())
            self.apply_effects()

    def take_lease_notice(self, notice):
        """Apply what a previous owner has promised about its leases."""
        if self._is_active:
            self.cell.inherited_leases.apply(notice)

    def on_limit_part_message(self, message):
        """Apply a message of another cell's owner about parts of account limits."""
        if self._is_active:
            self.cell.on_parts(message, now_ms=steady_ms())
            self.apply_effects()

    def apply_effects(self):
        """Execute pending effects, if the cell was taken over, and schedule a cycle."""
        if self._loop is not None:
            self._loop.apply_effects()
