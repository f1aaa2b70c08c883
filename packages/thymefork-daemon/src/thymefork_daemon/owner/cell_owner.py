"""One cell while this instance owns it."""

import time

from loguru import logger

from thymefork_cells import Cell, effects as fx
from thymefork_cells.intake import STORE_AWAY_RETRY_MS
from thymefork_cells.quorum import OUTAGE_GRACE_MS
from thymefork_net import steady_ms

from .advisers import Advisers
from .append_pump import AppendPump
from .effect_performer import EffectPerformer
from .order_sender import OrderSender
from .takeover import Takeover

__all__ = ["CellOwner"]

# After an append that the store turned away, the next one follows this soon.
STORE_AGAIN_MS = 60.0
# Events that come within this time are decided on together: planning looks over all
# live steps and workers, and an order takes 2 to 4 ms to be answered anyway.
TURN_MS = 4.0
# Records that nobody waits for are held this long for others to go along: an append is
# priced by the call. Meanwhile a worker whose ends are not stored yet is not looked at,
# so that a further end there is heard up to this much later; a short job has 500 ms to
# spare.
LINGER_MS = 30.0


class CellOwner:
    """Take a cell over, then carry out what it decides, until it is lost."""

    def __init__(self, *, cell, epoch, shell):
        self.cell_index = cell
        self._partition = shell.layout.partition_of(cell)
        self.epoch = epoch
        self.cell = None
        self._shell = shell
        self._began_ms = steady_ms()
        self._ended = False
        self._turn_timer = 0
        self._store_again_timer = 0
        self._turn_due_ms = 0.0
        self._lingers_since_ms = 0.0
        self._takeover = Takeover(
            store=shell.store,
            timers=shell.timers,
            cell=cell,
            partition=self._partition,
            epoch=epoch,
            owner=shell.settings.instance,
            on_loaded=self._on_loaded,
            on_fenced=lambda: self.lose("fenced"),
        )
        self._pump = AppendPump(
            store=shell.store,
            timers=shell.timers,
            metrics=shell.metrics,
            cell=cell,
            partition=self._partition,
            epoch=epoch,
            last_sequence=self._takeover.sequence,
            may_write=self._holds,
            on_lost=self.lose,
        )
        self._orders = OrderSender(owner=self, client=shell.workers)
        self._advisers = Advisers(
            client=shell.advice,
            timers=shell.timers,
            metrics=shell.metrics,
            instance=shell.settings.instance,
            turn=cell / max(1, shell.layout.cells),
            on_answer=self._on_advice,
        )
        self._effects = EffectPerformer(
            cell_index=cell,
            metrics=shell.metrics,
            advisers=self._advisers,
            orders=self._orders,
            on_ends_stored=self._on_ends_stored,
        )

    @property
    def metrics(self):
        """Return where counts and times go."""
        return self._shell.metrics

    @property
    def is_serving(self):
        """Tell whether requests can be decided here.

        While the store can't be reached, no one else can take the cell over; its
        owner goes on telling what is stored and refuses the rest at once.
        """
        return self.cell is not None and not self._ended and self._lasts()

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
        self._shell.timers.cancel(self._turn_timer)
        self._shell.metrics.count("ownership", "lost")
        self._log("ownership_lost").info("{}", reason)

    @property
    def has_pending_append(self):
        """Tell whether something is being stored."""
        return self._pump.is_busy

    def _log(self, event):
        return logger.bind(event=event, cell=self.cell_index, epoch=self.epoch)

    def _holds(self):
        return self._shell.membership.holds(self._partition, self.epoch)

    def _has_store(self):
        """Tell whether the membership stands and is still being renewed."""
        return self._holds() and not self._shell.membership.store_lost

    def may_renew(self):
        """Tell whether leases may be renewed and states be told."""
        if self._ended or self._holds():
            return not self._ended
        return self._lasts() and self.cell.quorum.is_held(steady_ms())

    def _lasts(self):
        """Tell whether the cell may still be ours though the store can't say so."""
        return self._shell.membership.holds(
            self._partition, self.epoch, grace_ms=OUTAGE_GRACE_MS
        )

    def may_order(self):
        """Tell whether work may be started."""
        return not self._ended and self._holds()

    def may_look(self):
        """Tell whether workers may be asked; that alone keeps nothing alive."""
        return not self._ended

    def lose(self, reason):
        """Give the cell up, since it is certainly another's."""
        self.end(reason)
        self._shell.on_cell_lost(self)

    # Taking over -------------------------------------------------------------

    def _on_loaded(self, records):
        configuration = self._shell.configuration
        if configuration is None or not self._shell.worker_list.is_complete:
            self._shell.timers.after(30.0, lambda: self._retry_loaded(records))
            return
        now_ms = steady_ms()
        cell = Cell(
            cell=self.cell_index,
            epoch=self.epoch,
            cell_count=self._shell.layout.cells,
            bounds=self._shell.settings.bounds,
            configuration=configuration,
            membership_ms=self._shell.membership.ttl_ms,
            now_ms=now_ms,
        )
        cell.load(records, epoch_ms=time.time() * 1000.0, now_ms=now_ms)
        self.cell = cell
        cell.roster.update(self._shell.worker_list.entries.values(), now_ms=now_ms)
        self._shell.metrics.count("ownership", "gained")
        self._shell.metrics.observe("takeover", now_ms - self._began_ms)
        self._log("ownership_gained").bind(
            records=len(records),
            jobs=len(cell.context.jobs),
            unlisted_workers=cell.roster.unlisted_count,
            after_ms=round(now_ms - self._began_ms),
        ).info("serving the cell")
        self.on_links()
        self._shell.on_cell_serving(self)
        self.turn()

    def _retry_loaded(self, records):
        if not self._ended:
            self._on_loaded(records)

    # Inputs ------------------------------------------------------------------

    def on_links(self):
        """Take the links to other instances that are open now."""
        if self.cell is not None and not self._ended:
            self._advisers.update(self._shell.links.incoming)

    def on_advice_reply(self, reply):
        """Take another instance's answer to a question of this cell."""
        self._advisers.on_reply(reply)

    def on_workers(self):
        """Take the platform's list of workers."""
        if self.cell is not None and not self._ended:
            entries = self._shell.worker_list.entries.values()
            self.cell.roster.update(entries, now_ms=steady_ms())
            self.settle()

    def on_configuration(self, configuration):
        """Take a newer configuration."""
        if self.cell is not None:
            self.cell.context.configuration = configuration
            self.cell.context.needs_plan = True

    def request(self, kind, queue, job_id, data, respond):
        """Decide a caller's request; `respond` takes the reply."""
        if not self.is_serving:
            respond(fx.Reply(request_id=None, outcome=fx.Outcome.NOT_OWNER))
            return
        intake, now_ms = self.cell.intake, steady_ms()
        store_is_away = self._pump.store_is_away or not self._holds()
        if kind == "read" and (intake.knows(job_id) or not store_is_away):
            intake.read(respond, job_id)
        elif kind == "count":
            intake.count_pending(respond, queue)
        elif store_is_away and not (kind == "submit" and intake.has_seen(job_id)):
            self._refuse(respond)
        elif kind == "submit":
            intake.submit(respond, job_id, queue, data, now_ms=now_ms)
        else:
            intake.cancel(respond, job_id, now_ms=now_ms)
        self.settle()

    def _refuse(self, respond):
        self._shell.metrics.count("refusals", "store_away")
        respond(
            fx.Reply(
                request_id=None,
                outcome=fx.Outcome.REFUSED,
                retry_after_ms=STORE_AWAY_RETRY_MS,
            )
        )

    def _on_advice(self, step, worker_ids, tickets, valid_ms):
        if self._ended or self.cell is None:
            return
        self.cell.advice.on_answer(
            step, worker_ids, tickets, valid_ms, now_ms=steady_ms()
        )
        self.settle()

    def _on_ends_stored(self, worker, last_end, *, now_ms):
        self.cell.looks.on_ends_stored(worker, last_end, now_ms=now_ms)

    # Turns -------------------------------------------------------------------

    def settle(self):
        """Do what an event has led to; the next turn decides what follows from it.

        Records wait for that turn too, so that the ends of a step and the starts of
        the next one go into the same append.
        """
        if self._ended or self.cell is None:
            return
        self._perform_effects()
        self._schedule(min(self._turn_due_ms, steady_ms() + TURN_MS))

    def turn(self):
        """Let the cell decide, store what it has to and do what it wants."""
        if self._ended or self.cell is None:
            return
        now_ms = steady_ms()
        self._turn_timer = 0
        self.cell.context.store_is_away = not self._has_store()
        due_ms = self.cell.turn(now_ms)
        self._perform_effects()
        if self._lingers(now_ms):
            due_ms = min(due_ms, self._lingers_since_ms + LINGER_MS)
        else:
            self._store()
        self._schedule(due_ms)

    def _schedule(self, due_ms):
        if self._turn_timer and due_ms == self._turn_due_ms:
            return
        self._shell.timers.cancel(self._turn_timer)
        self._turn_due_ms = due_ms
        self._turn_timer = self._shell.timers.at(due_ms, self.turn)

    def _lingers(self, now_ms):
        """Tell whether the records that wait may wait for others."""
        journal = self.cell.journal
        if journal.is_empty or journal.is_urgent or self._pump.store_is_away:
            self._lingers_since_ms = 0.0
            return False
        self._lingers_since_ms = self._lingers_since_ms or now_ms
        return now_ms - self._lingers_since_ms < LINGER_MS

    def _store(self):
        if self._pump.is_busy or self.cell.journal.is_empty or self._ended:
            return
        if self._store_again_timer:
            return
        batch = self.cell.journal.take(steady_ms())
        self._pump.send(batch, self._on_stored, self._on_not_stored)

    def _on_not_stored(self, batch):
        self.cell.on_not_stored(batch, now_ms=steady_ms())
        self._perform_effects()
        self._store_again_timer = self._shell.timers.after(
            STORE_AGAIN_MS, self._store_again
        )

    def _store_again(self):
        self._store_again_timer = 0
        if self._ended:
            return
        if self.cell.journal.is_empty:
            self._pump.clear_failure()
        self.settle()

    def _on_stored(self, batch):
        self.cell.on_stored(batch)
        self._effects.perform(batch.effects)
        self.settle()

    def _perform_effects(self):
        self._effects.perform(self.cell.take_effects())
