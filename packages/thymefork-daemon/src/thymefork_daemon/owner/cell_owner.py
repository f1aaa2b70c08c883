"""One cell while this instance owns it."""

import time

from loguru import logger

from thymefork_cells import Cell, effects as fx
from thymefork_net import steady_ms

from .advice_dispatcher import AdviceDispatcher
from .append_pipeline import AppendPipeline
from .cell_partition import CellPartition
from .command_sender import CommandSender
from .effect_executor import EffectExecutor
from .ownership import Ownership
from .request_handler import RequestHandler
from .scheduling_loop import SchedulingLoop
from .takeover import Takeover

__all__ = ["CellOwner"]

# A cell loaded before the configuration and the workers were read looks again so often.
INPUTS_AGAIN_MS = 30.0


class CellOwner:
    """Take a cell over, then carry out what it decides, until it is lost."""

    def __init__(self, *, cell, epoch, daemon):
        self.cell_index = cell
        self.epoch = epoch
        self.cell = None
        self._daemon = daemon
        self._started_ms = steady_ms()
        self._ended = False
        self._turns = None
        self._requests = None
        partition = daemon.layout.partition_of(cell)
        self._ownership = Ownership(
            membership=daemon.membership, partition=partition, epoch=epoch
        )
        self._partition = CellPartition(
            store=daemon.store, cell=cell, partition=partition, epoch=epoch
        )
        self._takeover = self._build_takeover()
        self._pump = self._build_pump()
        self._advisers = self._build_advisers()
        self._performer = EffectExecutor(
            cell_index=cell,
            metrics=daemon.metrics,
            advisers=self._advisers,
            orders=CommandSender(owner=self, client=daemon.workers),
            on_ends_stored=self._on_ends_stored,
            tell_ends=self._tell_members,
            sheds=daemon.owner_load.load_shedder.sheds,
            tell_speeds=self._tell_speeds,
            send_parts=lambda message: daemon.parts.send(message),
        )

    def _build_takeover(self):
        return Takeover(
            partition=self._partition,
            timers=self._daemon.timers,
            owner=self._daemon.settings.instance,
            on_loaded=self._on_loaded,
            on_fenced=lambda: self.drop_ownership("fenced"),
        )

    def _build_pump(self):
        return AppendPipeline(
            partition=self._partition,
            timers=self._daemon.timers,
            metrics=self._daemon.metrics,
            last_sequence=self._takeover.sequence,
            may_write=self._ownership.is_certain,
            on_ownership_lost=self.drop_ownership,
        )

    def _build_advisers(self):
        return AdviceDispatcher(
            client=self._daemon.advice,
            timers=self._daemon.timers,
            metrics=self._daemon.metrics,
            instance=self._daemon.settings.instance,
            run_cycle=self.cell_index / max(1, self._daemon.layout.cells),
            on_answer=self._on_advice,
            tell_withdrawn=lambda *call: self._daemon.peers.withdraw_advice(*call),
        )

    @property
    def metrics(self):
        """Return where counts and times go."""
        return self._daemon.metrics

    @property
    def is_serving(self):
        """Tell whether requests can be decided here.

        While the store can't be reached, no one else can take the cell over; its
        owner goes on telling what is stored and refuses the rest at once.
        """
        return self._is_live and self._ownership.is_possible()

    @property
    def has_unstored(self):
        """Tell whether something waits to be stored, or is being stored."""
        if self._pump.is_busy:
            return True
        return self._is_live and not self.cell.journal.is_empty

    @property
    def store_answers(self):
        """Tell whether appends are answered, as far as is known here."""
        return self._pump.is_answered

    @property
    def is_store_unavailable(self):
        """Tell whether the store takes no appends, rather than takes long for them."""
        return self._pump.is_store_unavailable

    @property
    def _is_live(self):
        """Tell whether the cell was taken over and not given up yet."""
        return self.cell is not None and not self._ended

    def start(self):
        """Begin the takeover."""
        self._log("takeover_begins").info("taking over")
        self._takeover.start()

    def end(self, reason):
        """Give the cell up."""
        if self._ended:
            return
        self._ended = True
        self._takeover.abandon()
        self._pump.end()
        self._advisers.end()
        if self._turns is not None:
            self._turns.end()
            self._requests.give_back()
        self._daemon.metrics.count("ownership", "lost")
        self._log("ownership_lost").info("{}", reason)

    def drop_ownership(self, reason):
        """Give the cell up, since it is certainly another's."""
        self.end(reason)
        self._daemon.owned_cells.on_ownership_lost(self)

    def _log(self, event):
        return logger.bind(event=event, cell=self.cell_index, epoch=self.epoch)

    # What workers may be told ------------------------------------------------

    def may_renew(self):
        """Tell whether leases may be renewed and states be told."""
        if self._ended:
            return False
        if self._ownership.is_certain():
            return True
        return self._ownership.is_possible() and self.cell.quorum.is_held(steady_ms())

    def may_order(self):
        """Tell whether work may be started."""
        return not self._ended and self._ownership.is_certain()

    def may_look(self):
        """Tell whether workers may be asked; that alone keeps nothing alive."""
        return not self._ended

    # Taking over -------------------------------------------------------------

    def _on_loaded(self, records):
        if self._ended:
            return
        daemon = self._daemon
        if daemon.configuration is None or not daemon.worker_list.is_complete:
            daemon.timers.after(INPUTS_AGAIN_MS, lambda: self._on_loaded(records))
            return
        try:
            self._serve(records)
        except Exception:
            self._on_takeover_failed()
        else:
            self._turns.run_cycle()

    def _on_takeover_failed(self):
        """Let another instance take the cell, rather than hold it unserved for ever."""
        self._daemon.metrics.count("ownership", "takeover_failed")
        line = self._log("takeover_failed").opt(exception=True)
        line.error("the cell can't be served here")
        self.drop_ownership("its takeover failed")

    def _serve(self, records):
        now_ms = steady_ms()
        self.cell = cell = self._load_cell(records, now_ms)
        self._requests = RequestHandler(
            cell=cell,
            ownership=self._ownership,
            pump=self._pump,
            metrics=self._daemon.metrics,
            timers=self._daemon.timers,
            settle=self.settle,
        )
        self._turns = SchedulingLoop(
            cell=cell,
            ownership=self._ownership,
            pump=self._pump,
            performer=self._performer,
            timers=self._daemon.timers,
            worker_list_as_of_ms=lambda: self._daemon.worker_list.as_of_ms,
            advice_slots=self._advisers.wanted_slots,
            load_watch=self._daemon.owner_load,
        )
        cell.registry.update(self._daemon.worker_list.entries.values(), now_ms=now_ms)
        heard = self._daemon.heard_ends.ends_before(self.cell_index, self.epoch)
        cell.inherited_ends.apply(heard, now_ms=now_ms)
        speeds = self._daemon.learned_speeds.of(self.cell_index)
        cell.speed_learner.inherit(speeds, now_ms=now_ms)
        self._daemon.metrics.count("ownership", "gained")
        self._daemon.metrics.observe("takeover", now_ms - self._started_ms)
        self._log("ownership_gained").bind(
            records=len(records),
            jobs=len(cell.context.jobs),
            unlisted_workers=cell.registry.unlisted_count,
            after_ms=round(now_ms - self._started_ms),
        ).info("serving the cell")
        self.on_links()
        self._daemon.owned_cells.on_serving()

    def _load_cell(self, records, now_ms):
        cell = Cell(
            cell=self.cell_index,
            epoch=self.epoch,
            cell_count=self._daemon.layout.cells,
            bounds=self._daemon.settings.bounds,
            configuration=self._daemon.configuration,
            membership_ms=self._daemon.membership.ttl_ms,
            now_ms=now_ms,
        )
        cell.load(records, epoch_ms=time.time() * 1000.0, now_ms=now_ms)
        return cell

    # Inputs ------------------------------------------------------------------

    def request(self, kind, queue, job_id, data, respond, **options):
        """Decide a caller's request; `respond` takes the reply."""
        if not self.is_serving:
            respond(fx.Reply(request_id=None, outcome=fx.Outcome.NOT_OWNER))
            return
        self._requests.handle(kind, queue, job_id, data, respond, **options)
        self.settle()

    def on_workers(self):
        """Take the platform's list of workers."""
        if self._is_live:
            entries = self._daemon.worker_list.entries.values()
            self.cell.registry.update(entries, now_ms=steady_ms())
            self.settle()

    def on_configuration(self, configuration):
        """Take a newer configuration."""
        if self.cell is not None:
            self.cell.on_configuration(configuration)

    def on_links(self):
        """Take the links to other instances that are open now."""
        if self._is_live:
            self._advisers.update(self._daemon.links.incoming)

    def on_advice_reply(self, reply):
        """Take another instance's answer; tell whether this cell had asked."""
        return self._advisers.on_reply(reply)

    def _on_advice(self, step, worker_ids, tickets, valid_ms):
        if self._is_live:
            advice = self.cell.advice
            advice.on_answer(step, worker_ids, tickets, valid_ms, now_ms=steady_ms())
            self.settle()

    def _on_ends_stored(self, worker, last_end, *, now_ms):
        self.cell.poller.on_ends_stored(worker, last_end, now_ms=now_ms)

    def _tell_members(self, ends):
        self._daemon.heard_ends.tell(self.cell_index, self.epoch, ends)

    def _tell_speeds(self, speeds):
        self._daemon.learned_speeds.tell(self.cell_index, self.epoch, speeds)

    def tell_ends(self):
        """Tell those who may own the cell next of all ends that are not stored."""
        if self._is_live:
            self.cell.unstored_ends.tell(steady_ms())
            self.settle()

    def take_heard_ends(self, ends):
        """Take the ends that an owner before this one has heard."""
        if self._is_live:
            self.cell.inherited_ends.apply(ends, now_ms=steady_ms())
            self.settle()

    def take_parts(self, message):
        """Take what another cell's owner says of parts of accounts' limits."""
        if self._is_live:
            self.cell.on_parts(message, now_ms=steady_ms())
            self.settle()

    def settle(self):
        """Do what an event has led to, once the cell was taken over."""
        if self._turns is not None:
            self._turns.settle()
