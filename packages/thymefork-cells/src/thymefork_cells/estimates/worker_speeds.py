"""How fast workers are, apart from what the images that they run take."""

from collections import OrderedDict
from itertools import chain
from math import exp, log, sqrt
from statistics import fmean, median

from attrs import define

from ..state.worker import FAR_SLOWER_FACTOR
from .duration_variance import RUN_VARIANCE
from .log_estimate import LogEstimate

__all__ = ["LearnedSpeed", "WorkerSpeeds"]

# Variances of logarithms. Workers of one service differ by two to three times, and
# images by more than callers' estimates of them tell.
MACHINE_VARIANCE = 0.25
IMAGE_VARIANCE = 0.36
# Steps of one image differ, too: what tasks of one step took on different workers says
# more than what tasks of different steps took.
STEP_VARIANCE = 0.08
# Callers' estimates of one step.
ESTIMATE_VARIANCE = 0.4
# Machines change seldom, images with each release of their callers' code.
MACHINE_DRIFT_PER_S = 0.0005
IMAGE_DRIFT_PER_S = 0.0005
# A worker that has started again is most likely the machine that it was.
RESTART_DOUBT = 0.03
# What an earlier owner has told counts as known, and is corrected by a few runs.
INHERITED_VARIANCE = 0.03
# Beyond this many standard deviations an observation counts less, and one that took too
# long counts next to nothing beyond the second: a long tail, or a worker that is slow
# for a while. No run ends far too soon by chance.
DOUBTED_DEVIATIONS = 2.0
OUTLIER_DEVIATIONS = 3.0
WEIGHT_OF_OUTLIER = 0.01
# What is slower for so long, in so many runs in a row, has changed for good: machines
# that are slow for a while recover within some seconds. What is faster has recovered.
CHANGED_RUNS = 6
RECOVERED_RUNS = 3
CHANGED_AFTER_MS = 15_000.0
# A worker is known once its variance is below this: after two or three runs of images
# that are known.
KNOWN_VARIANCE = 0.06
# Workers count as uneven while at least two, and this share, of those known differ from
# the middle one by this factor or more, beyond what doubt explains.
NOTABLE = log(1.3)
NOTABLE_DEVIATIONS = 3.0
UNEVEN_SHARE = 0.1
EVEN_SHARE = 0.04
# Slowness is told in steps of this factor: less makes no difference to any decision.
SLOWNESS_QUANTUM = log(1.1)
MAX_IMAGES = 1_000
MOST_STEPS = 400
MAX_MACHINES = 4_000


@define(kw_only=True)
class LearnedSpeed:
    """Tell how slow a machine is; `log_slowness` is 0 for an ordinary one."""

    machine: str
    log_slowness: float


@define(kw_only=True)
class _Machine:
    """Hold what is known of a machine.

    `off_*` tells of runs in a row that were off one way.
    """

    estimate: LogEstimate
    born_epoch_ms: int = 0
    noted: str = "ordinary"
    off_runs: int = 0
    off_since_ms: float = 0.0
    off_sign: int = 0


class WorkerSpeeds:
    """Learn the slowness of machines and the work of steps together.

    log(duration) = log(what the step takes on an ordinary worker) + log(slowness of
    the worker) + noise. Each unknown takes the part of a difference that its variance
    is of the whole. What a step takes is first believed by its image and by its
    caller's estimate. An ordinary worker is one of average speed.
    """

    def __init__(self):
        self._images = OrderedDict()
        self._steps = OrderedDict()
        self._machines = OrderedDict()
        self.is_heterogeneous = False

    def learn(self, *, worker, step_name, step, took_ms, now_ms):
        """Note the good end of a whole run; tell whether it was set aside."""
        known = self._machine(worker.machine, worker.born_epoch_ms, now_ms)
        image = self._image(step, now_ms)
        work = self._work(step_name, step, image, now_ms)
        took = log(max(1.0, took_ms))
        residual = took - work.mean - known.estimate.mean
        total = known.estimate.variance + work.variance + RUN_VARIANCE
        deviations = abs(residual) / sqrt(total)
        is_outlier = residual > 0.0 and deviations > OUTLIER_DEVIATIONS
        weight = min(1.0, DOUBTED_DEVIATIONS / max(deviations, 1e-9))
        if is_outlier:
            weight = WEIGHT_OF_OUTLIER
        residual_of_image = took - image.mean - known.estimate.mean
        known.estimate.move(residual, total_variance=total, weight=weight)
        work.move(residual, total_variance=total, weight=weight)
        image.move(
            residual_of_image,
            total_variance=total + image.variance + STEP_VARIANCE,
            weight=weight,
        )
        is_off = deviations > DOUBTED_DEVIATIONS
        self._watch_change(known, residual if is_off else 0.0, now_ms)
        return is_outlier

    def _machine(self, machine, born_epoch_ms, now_ms):
        known = self._machines.pop(machine, None)
        if known is None:
            known = _Machine(estimate=_belief(0.0, MACHINE_VARIANCE, now_ms))
            known.born_epoch_ms = born_epoch_ms
        self._machines[machine] = known
        _drop_oldest(self._machines, MAX_MACHINES)
        known.estimate.add_drift(now_ms, MACHINE_DRIFT_PER_S)
        if born_epoch_ms != known.born_epoch_ms:
            if known.born_epoch_ms:
                known.estimate.add_variance(RESTART_DOUBT)
            known.born_epoch_ms = born_epoch_ms
        return known

    def _image(self, step, now_ms):
        """Return what is believed of an image's work."""
        image = self._images.pop(step.image, None) if step.image else None
        if image is None:
            image = _belief(_estimate(step), IMAGE_VARIANCE, now_ms)
        image.add_drift(now_ms, IMAGE_DRIFT_PER_S)
        if step.image:
            self._images[step.image] = image
            _drop_oldest(self._images, MAX_IMAGES)
        return image

    def _work(self, step_name, step, image, now_ms):
        """Return what is believed of a step's work, first by image and estimate."""
        work = self._steps.pop(step_name, None)
        if work is None:
            by_image = image.variance + STEP_VARIANCE
            part = by_image / (by_image + ESTIMATE_VARIANCE)
            mean = image.mean + part * (_estimate(step) - image.mean)
            work = _belief(mean, (1.0 - part) * by_image, now_ms)
        self._steps[step_name] = work
        _drop_oldest(self._steps, MOST_STEPS)
        return work

    @staticmethod
    def _watch_change(machine, residual, now_ms):
        """Learn a machine anew that has been off one way for long."""
        sign = (residual > 0.0) - (residual < 0.0)
        if not sign or sign != machine.off_sign:
            machine.off_sign, machine.off_runs, machine.off_since_ms = sign, 0, now_ms
        if not sign:
            return
        machine.off_runs += 1
        lasted_ms = now_ms - machine.off_since_ms
        if sign > 0:
            has_changed = (
                machine.off_runs >= CHANGED_RUNS and lasted_ms >= CHANGED_AFTER_MS
            )
        else:
            has_changed = machine.off_runs >= RECOVERED_RUNS
        if has_changed:
            machine.estimate.add_variance(MACHINE_VARIANCE)
            machine.off_sign = 0

    def inherit(self, speeds, now_ms):
        """Begin with what an earlier owner has told, unless it is known here."""
        for speed in speeds:
            if speed.machine not in self._machines:
                estimate = _belief(speed.log_slowness, INHERITED_VARIANCE, now_ms)
                self._machines[speed.machine] = _Machine(estimate=estimate)
        _drop_oldest(self._machines, MAX_MACHINES)

    # What is known ------------------------------------------------------------

    def log_slowness(self, machine):
        """Return the logarithm of a machine's slowness, 0 while nothing is known."""
        known = self._machines.get(machine)
        return known.estimate.mean if known is not None else 0.0

    def known_log_slowness(self, machine):
        """Return the logarithm of a machine's slowness, None while it is doubtful."""
        known = self._machines.get(machine)
        if known is None or known.estimate.variance > KNOWN_VARIANCE:
            return None
        return known.estimate.mean

    def slowness(self, machine):
        """Return how many times as long as on an ordinary worker runs take.

        Exactly 1 while workers are alike, as far as is known.
        """
        if not self.is_heterogeneous:
            return 1.0
        quanta = round(self.log_slowness(machine) / SLOWNESS_QUANTUM)
        return exp(SLOWNESS_QUANTUM * quanta)

    def review(self, machines):
        """Judge whether the present machines are uneven; tell whether that changed."""
        beliefs = [self._machines[m].estimate for m in machines if m in self._machines]
        known = [
            estimate for estimate in beliefs if estimate.variance <= KNOWN_VARIANCE
        ]
        if not known:
            return False
        if 2 * len(known) >= len(machines):
            self._center(known)
        middle = median(estimate.mean for estimate in known)
        notable = sum(_is_notable(estimate, middle) for estimate in known)
        share = EVEN_SHARE if self.is_heterogeneous else UNEVEN_SHARE
        was, self.is_heterogeneous = (
            self.is_heterogeneous,
            notable >= max(2, share * len(known)),
        )
        return was != self.is_heterogeneous

    def _center(self, known):
        """Call the average worker ordinary; what steps take moves the other way.

        Durations alone don't tell how much of them is due to the workers, and callers'
        estimates may be off all one way.
        """
        offset = fmean(estimate.mean for estimate in known)
        for machine in self._machines.values():
            machine.estimate.mean -= offset
        for work in chain(self._images.values(), self._steps.values()):
            work.mean += offset

    def newly_notable(self, machines):
        """Return the machines that became notably slow or fast, or ordinary again."""
        found = []
        for machine in machines:
            log_slowness = self.known_log_slowness(machine)
            if log_slowness is None:
                continue
            kind = _kind(log_slowness)
            if kind != self._machines[machine].noted:
                self._machines[machine].noted = kind
                found.append((machine, kind, log_slowness))
        return found


def _belief(mean, variance, now_ms):
    most = max(variance, MACHINE_VARIANCE)
    return LogEstimate(mean=mean, variance=variance, at_ms=now_ms, max_variance=most)


def _estimate(step):
    return log(max(1.0, step.estimated_ms))


def _drop_oldest(rows, most):
    while len(rows) > most:
        rows.popitem(last=False)


def _is_notable(estimate, middle):
    bound = max(NOTABLE, NOTABLE_DEVIATIONS * sqrt(estimate.variance))
    return abs(estimate.mean - middle) > bound


def _kind(log_slowness):
    if log_slowness > log(FAR_SLOWER_FACTOR):
        return "far_slower"
    if log_slowness > NOTABLE:
        return "slow"
    return "fast" if log_slowness < -NOTABLE else "ordinary"
