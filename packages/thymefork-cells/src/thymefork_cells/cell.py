"""A cell: a shard of the jobs and of the workers of every hall."""

from .accounts import JobRateShares, PartExchange, PartsLedger, Quotas
from .advice.requester import AdviceRequester
from .context import CellContext
from .estimates.capacity_forecast import CapacityForecast
from .estimates.image_durations import ImageDurations
from .estimates.speed_learner import SpeedLearner
from .estimates.worker_speeds import WorkerSpeeds
from .jobs.inherited_ends import InheritedEnds
from .jobs.intake import Intake
from .jobs.job_loader import JobLoader
from .jobs.journal import Journal
from .jobs.lifecycle import Lifecycle
from .jobs.refused_appends import RefusedAppends
from .jobs.unstored_ends import UnstoredEnds
from .placement.crash_isolation import CrashIsolation
from .placement.placer import Placer
from .placement.preemptor import Preemptor
from .placement.reservations import Reservations
from .policies import RetainedPolicies
from .workers.commands import CommandTracker, Refusal
from .workers.extended_leases import ExtendedLeases
from .workers.gang_monitor import GangMonitor
from .workers.incarnations import IncarnationMatch, IncarnationTracker
from .workers.inherited_leases import InheritedLeases
from .workers.leaving_workers import LeavingWorkers
from .workers.pacing import PaceController
from .workers.progress_monitor import ProgressMonitor
from .workers.quorum import Quorum
from .workers.stop_tracker import StopTracker
from .workers.takeover_report import TakeoverReport
from .workers.withheld_ends import WithheldEnds
from .workers.worker_locations import WorkerLocations
from .workers.worker_losses import WorkerLosses
from .workers.worker_poller import WorkerPoller
from .workers.worker_registry import WorkerRegistry

__all__ = ["Cell"]

# Interval of periodic checks and timeouts.
REVIEW_INTERVAL_MS = 100.0


class Cell:
    """Make the decisions of a cell; the owner performs the emitted effects.

    Units: `*_ms` on the steady clock.
    """

    def __init__(
        self,
        *,
        cell,
        epoch,
        cell_count,
        bounds,
        configuration,
        membership_ms,
        now_ms,
        record_limits=None,
    ):
        self.context = CellContext(
            cell=cell,
            epoch=epoch,
            cell_count=cell_count,
            bounds=bounds,
            taken_over_ms=now_ms,
            configuration=configuration,
        )
        self.context.journal = Journal(limits=record_limits, context=self.context)
        self.quorum = Quorum(context=self.context)
        self.inherited_leases = InheritedLeases(
            context=self.context, membership_ms=membership_ms
        )
        self.leaving_workers = LeavingWorkers(
            context=self.context, inherited_leases=self.inherited_leases
        )
        self._review_due_ms = now_ms
        self.durations = ImageDurations()
        self.speeds = WorkerSpeeds()
        self.speed_learner = SpeedLearner(
            context=self.context, durations=self.durations, speeds=self.speeds
        )
        self.lifecycle = Lifecycle(context=self.context)
        self._takeover_report = TakeoverReport(
            context=self.context, inherited_leases=self.inherited_leases
        )
        self.losses = WorkerLosses(
            context=self.context,
            lifecycle=self.lifecycle,
            takeover_report=self._takeover_report,
        )
        self.unstored_ends = UnstoredEnds(context=self.context)
        self._withheld_ends = WithheldEnds(context=self.context)
        self.inherited_ends = InheritedEnds(
            context=self.context,
            lifecycle=self.lifecycle,
            takeover_report=self._takeover_report,
        )
        self.poller = WorkerPoller(
            context=self.context,
            lifecycle=self.lifecycle,
            losses=self.losses,
            unstored_ends=self.unstored_ends,
            withheld_ends=self._withheld_ends,
        )
        self.extended_leases = ExtendedLeases(context=self.context)
        self._worker_locations = WorkerLocations(context=self.context)
        self.incarnations = IncarnationTracker(
            context=self.context,
            lifecycle=self.lifecycle,
            losses=self.losses,
            extended_leases=self.extended_leases,
        )
        self.registry = WorkerRegistry(
            context=self.context, losses=self.losses, incarnations=self.incarnations
        )
        self.policies = RetainedPolicies(context=self.context)
        self.shares = JobRateShares(context=self.context)
        self.parts = PartsLedger(context=self.context)
        self.quotas = Quotas(context=self.context, parts=self.parts)
        self.exchange = PartExchange(
            context=self.context, ledger=self.parts, quotas=self.quotas
        )
        self.intake = Intake(
            context=self.context,
            lifecycle=self.lifecycle,
            policies=self.policies,
            quotas=self.quotas,
            shares=self.shares,
        )
        self._refused_appends = RefusedAppends(context=self.context, intake=self.intake)
        self._loader = JobLoader(
            context=self.context,
            lifecycle=self.lifecycle,
            losses=self.losses,
            shares=self.shares,
            worker_of=self.registry.get_or_add_placeholder,
        )
        self._crash_isolation = CrashIsolation(losses=self.losses)
        forecast = CapacityForecast(context=self.context, durations=self.durations)
        self.advice = AdviceRequester(
            context=self.context, durations=self.durations, speeds=self.speeds
        )
        self.commands = CommandTracker(
            context=self.context,
            lifecycle=self.lifecycle,
            poller=self.poller,
            advice=self.advice,
        )
        self.stops = StopTracker(context=self.context, poller=self.poller)
        self.placer = Placer(
            context=self.context,
            advice=self.advice,
            durations=self.durations,
            preemptor=Preemptor(
                context=self.context, lifecycle=self.lifecycle, durations=self.durations
            ),
            reservations=Reservations(
                context=self.context, durations=self.durations, forecast=forecast
            ),
            crash_isolation=self._crash_isolation,
            quotas=self.quotas,
            speeds=self.speeds,
            losses=self.losses,
            worker_locations=self._worker_locations,
        )
        self.progress_monitor = ProgressMonitor(
            context=self.context, lifecycle=self.lifecycle, durations=self.durations
        )
        self.gang_monitor = GangMonitor(context=self.context, lifecycle=self.lifecycle)
        self.pacing = PaceController(context=self.context)

    @property
    def journal(self):
        """Return the records that wait to be stored."""
        return self.context.journal

    def take_effects(self):
        """Return and clear the pending effects."""
        effects = self.context.effects
        self.context.effects = []
        return effects

    # Takeover ----------------------------------------------------------------

    def load(self, records, *, epoch_ms, now_ms):
        """Load the stored state; `records` maps keys to values."""
        self.policies.load(records)
        self.losses.crash_monitor.load(records, epoch_ms=epoch_ms, now_ms=now_ms)
        self._loader.load(records, epoch_ms=epoch_ms, now_ms=now_ms)
        self._crash_isolation.restore(self.context.live_jobs.values(), now_ms)
        self.extended_leases.load(records, self.registry.get_or_add_placeholder, now_ms)
        self._worker_locations.load(records, self.registry, now_ms)
        self._withheld_ends.load(records, now_ms)
        self.inherited_leases.load(records)
        self.parts.load(records)
        self.policies.on_jobs_loaded()
        self._takeover_report.begin()

    def on_configuration(self, configuration):
        """Apply a newer configuration."""
        self.policies.replace_configuration(configuration)
        self.context.needs_plan = True

    # Time --------------------------------------------------------------------

    def run_cycle(self, now_ms):
        """Do all due work; return when the next cycle is due."""
        self.unstored_ends.announce_if_late(now_ms)
        if now_ms >= self._review_due_ms:
            self._review_due_ms = now_ms + REVIEW_INTERVAL_MS
            self._review(now_ms)
        if self.policies.take_changed_attempts():
            self.lifecycle.fail_exhausted_jobs(now_ms)
        held_ms = self.lifecycle.delayed_starts.review(now_ms)
        if self.context.needs_plan:
            self.placer.plan(now_ms)
        parts_ms = self.exchange.run_cycle(now_ms)
        self.stops.send_due(now_ms)
        poll_ms = self.poller.schedule(now_ms)
        return min(poll_ms, parts_ms, held_ms, self._review_due_ms)

    def _review(self, now_ms):
        """Do the periodic checks and act on timeouts."""
        self.inherited_leases.check(now_ms)
        self.leaving_workers.review()
        self.registry.expire_leases(now_ms)
        self.losses.review(now_ms)
        self._takeover_report.review(now_ms)
        self.extended_leases.review(now_ms)
        self._withheld_ends.review(now_ms)
        self._worker_locations.review()
        self.commands.stop_unconfirmed_starts(now_ms)
        self.stops.log_overdue(now_ms)
        self.speed_learner.review(now_ms)
        self.progress_monitor.check(now_ms)
        self.gang_monitor.check(now_ms)
        self.pacing.check(now_ms)
        self.lifecycle.forget_ended(now_ms)
        self.policies.review(now_ms)
        self._refused_appends.review(now_ms)
        self.context.needs_plan = True

    # Store -------------------------------------------------------------------

    def on_stored(self, batch):
        """Make the job states of a stored append visible."""
        self.journal.on_stored(batch)
        self._worker_locations.on_stored(batch.other_records)
        for job, state in batch.job_states:
            job.visible_state = state

    def on_not_stored(self, batch, *, now_ms):
        """Refuse the new jobs of an append that the store has definitely rejected."""
        self.intake.return_new_jobs(batch, now_ms=now_ms)
        self.journal.put_back(batch)

    def on_refused(self, batch, *, to_blame, now_ms):
        """Handle an append that the store will never take as it is.

        Return whether it may take others. If several were on their way, `to_blame` is
        set for the first, which is handled last.
        """
        return self._refused_appends.on_refused(batch, to_blame=to_blame, now_ms=now_ms)

    # Other cells -------------------------------------------------------------

    def on_parts(self, message, *, now_ms):
        """Handle a limit part message from another cell's owner."""
        self.exchange.on_message(message, now_ms=now_ms)

    # Outcomes of effects -----------------------------------------------------

    def on_start_answer(self, run, answer, *, now_ms):
        """Handle the answer to a start."""
        if answer.refusal is Refusal.OTHER_LIFE:
            # The run never reached the ended incarnation, so it can't have crashed it.
            self.lifecycle.release_unstarted(run, now_ms=now_ms)
            self.on_other_incarnation(run.worker, now_ms=now_ms)
            return
        self.commands.on_start_answer(run, answer, now_ms=now_ms)

    def on_stop_answer(self, run, answer, *, now_ms):
        """Handle the answer to a stop."""
        if answer.refusal is Refusal.OTHER_LIFE:
            self.on_other_incarnation(run.worker, now_ms=now_ms)
            return
        self.stops.on_answer(run, answer, now_ms=now_ms)

    def on_pace_answer(self, run, percent, answer, *, now_ms):
        """Handle the answer to a pace command."""
        if answer.refusal is Refusal.OTHER_LIFE:
            self.on_other_incarnation(run.worker, now_ms=now_ms)
            return
        self.pacing.on_answer(run, percent, answer, now_ms=now_ms)

    def on_report(self, worker, report, last_end, *, quick=False, now_ms):
        """Apply a worker's report, unless it is from another incarnation."""
        if worker.is_over:
            return
        born_epoch_ms = report.born_epoch_ms
        match = self.incarnations.match_report(worker, born_epoch_ms, now_ms)
        if match is IncarnationMatch.NEXT:
            entry = self.incarnations.placeholder_entry(worker)
            self.incarnations.start_next(
                worker, entry=entry, born_epoch_ms=born_epoch_ms, now_ms=now_ms
            )
        elif match is IncarnationMatch.EARLIER:
            self.incarnations.count_ignored_report(born_epoch_ms)
            self.poller.on_poll_unanswered(worker, quick=quick, now_ms=now_ms)
        else:
            self._apply_report(worker, report, last_end, quick, now_ms)

    def _apply_report(self, worker, report, last_end, quick, now_ms):
        self.speed_learner.on_report(worker, report, now_ms)
        self.extended_leases.on_answer(worker, now_ms)
        self.poller.on_report(worker, report, last_end, quick=quick, now_ms=now_ms)

    def on_other_incarnation(self, worker, *, now_ms):
        """Handle an answer from another incarnation at a worker's address."""
        worker.is_polling = worker.is_quick_polling = False
        self.registry.end_incarnation(
            worker, "another incarnation answers at its address", now_ms=now_ms
        )
