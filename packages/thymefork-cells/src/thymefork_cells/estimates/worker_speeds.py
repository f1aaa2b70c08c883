"""Learn worker speeds independently of the durations of the tasks they run."""

from collections import OrderedDict
from itertools import chain
from math import exp, log, sqrt
from statistics import fmean, median

from attrs import define

from ..state.worker import FAR_SLOWER_FACTOR
from .duration_variance import RUN_VARIANCE
from .log_estimate import LogEstimate

__all__ = ["LearnedSpeed", "WorkerSpeeds"]

# Initial variances of the logarithms of slowness and duration.
MACHINE_VARIANCE = 0.25
IMAGE_VARIANCE = 0.36
# Variance among steps of one image.
STEP_VARIANCE = 0.08
# Variance of callers' estimates for a step.
ESTIMATE_VARIANCE = 0.4
# Growth of the variances, since machines and images change over time.
MACHINE_DRIFT_PER_S = 0.0005
IMAGE_DRIFT_PER_S = 0.0005
# Added when a worker restarts: it most likely runs on the same machine.
RESTART_VARIANCE = 0.03
# Variance of speeds that a previous owner announced.
INHERITED_VARIANCE = 0.03
# Observations that deviate by more standard deviations than this get a lower weight.
REDUCED_WEIGHT_DEVIATIONS = 2.0
# Runs that are longer by more standard deviations than this are outliers: a long tail
# or a temporarily slow worker.
OUTLIER_DEVIATIONS = 3.0
OUTLIER_WEIGHT = 0.01
# A machine that deviates for this many runs in a row is learned anew. A slower one also
# has to be slower for this long, since it may recover.
CHANGED_RUNS = 6
RECOVERED_RUNS = 3
CHANGED_AFTER_MS = 15_000.0
# A machine's speed is known while its variance is at most this.
KNOWN_VARIANCE = 0.06
# Smallest deviation from the median that is notable.
NOTABLE = log(1.3)
# A notable deviation also exceeds this many standard deviations of the estimate.
NOTABLE_DEVIATIONS = 3.0
# Workers become heterogeneous once this share of the known ones, and at least two,
# deviate notably from the median.
HETEROGENEOUS_SHARE = 0.1
# They become homogeneous again below this share.
HOMOGENEOUS_SHARE = 0.04
# Slowness is rounded to powers of this factor.
SLOWNESS_QUANTUM = log(1.1)
MAX_IMAGES = 1_000
MAX_STEPS = 400
MAX_MACHINES = 4_000


@define(kw_only=True)
class LearnedSpeed:
    """Hold the learned speed of a machine; `log_slowness` is 0 for an average one."""

    machine: str
    log_slowness: float


@define(kw_only=True)
class _Machine:
    """Hold the state of a machine.

    `deviation_*` describe consecutive runs that deviated in the same direction.
    """

    estimate: LogEstimate
    born_epoch_ms: int = 0
    logged_kind: str = "ordinary"
    deviation_runs: int = 0
    deviation_since_ms: float = 0.0
    deviation_sign: int = 0


class WorkerSpeeds:
    """Learn the slowness of machines and the durations of steps together.

    log(duration) = log(duration of the step on an average worker) + log(slowness of
    the machine) + noise. Each residual is split among the unknowns in proportion to
    their variances. The initial duration of a step combines that of its image with
    its caller's estimate.
    """

    def __init__(self):
        self._images = OrderedDict()
        self._steps = OrderedDict()
        self._machines = OrderedDict()
        self.is_heterogeneous = False

    def learn(self, *, worker, step_name, step, took_ms, now_ms):
        """Learn from a successful run; return whether it was an outlier."""
        state = self._machine_state(worker.machine, worker.born_epoch_ms, now_ms)
        image_estimate = self._image_estimate(step, now_ms)
        step_estimate = self._step_estimate(step_name, step, image_estimate, now_ms)
        took = log(max(1.0, took_ms))
        residual = took - step_estimate.mean - state.estimate.mean
        total = state.estimate.variance + step_estimate.variance + RUN_VARIANCE
        deviations = abs(residual) / sqrt(total)
        is_outlier = residual > 0.0 and deviations > OUTLIER_DEVIATIONS
        weight = min(1.0, REDUCED_WEIGHT_DEVIATIONS / max(deviations, 1e-9))
        if is_outlier:
            weight = OUTLIER_WEIGHT
        residual_of_image = took - image_estimate.mean - state.estimate.mean
        state.estimate.update(residual, total_variance=total, weight=weight)
        step_estimate.update(residual, total_variance=total, weight=weight)
        image_estimate.update(
            residual_of_image,
            total_variance=total + image_estimate.variance + STEP_VARIANCE,
            weight=weight,
        )
        is_deviating = deviations > REDUCED_WEIGHT_DEVIATIONS
        self._detect_change(state, residual if is_deviating else 0.0, now_ms)
        return is_outlier

    def _machine_state(self, machine, born_epoch_ms, now_ms):
        state = self._machines.pop(machine, None)
        if state is None:
            state = _Machine(estimate=_new_estimate(0.0, MACHINE_VARIANCE, now_ms))
            state.born_epoch_ms = born_epoch_ms
        self._machines[machine] = state
        _drop_oldest(self._machines, MAX_MACHINES)
        state.estimate.add_drift(now_ms, MACHINE_DRIFT_PER_S)
        if born_epoch_ms != state.born_epoch_ms:
            if state.born_epoch_ms:
                state.estimate.add_variance(RESTART_VARIANCE)
            state.born_epoch_ms = born_epoch_ms
        return state

    def _image_estimate(self, step, now_ms):
        """Return the estimated duration of an image."""
        image_estimate = self._images.pop(step.image, None) if step.image else None
        if image_estimate is None:
            image_estimate = _new_estimate(_caller_log_ms(step), IMAGE_VARIANCE, now_ms)
        image_estimate.add_drift(now_ms, IMAGE_DRIFT_PER_S)
        if step.image:
            self._images[step.image] = image_estimate
            _drop_oldest(self._images, MAX_IMAGES)
        return image_estimate

    def _step_estimate(self, step_name, step, image_estimate, now_ms):
        """Return the estimated duration of a step."""
        step_estimate = self._steps.pop(step_name, None)
        if step_estimate is None:
            by_image = image_estimate.variance + STEP_VARIANCE
            part = by_image / (by_image + ESTIMATE_VARIANCE)
            mean = image_estimate.mean + part * (
                _caller_log_ms(step) - image_estimate.mean
            )
            step_estimate = _new_estimate(mean, (1.0 - part) * by_image, now_ms)
        self._steps[step_name] = step_estimate
        _drop_oldest(self._steps, MAX_STEPS)
        return step_estimate

    @staticmethod
    def _detect_change(machine, residual, now_ms):
        """Reset a machine that has deviated in one direction for long."""
        sign = (residual > 0.0) - (residual < 0.0)
        if not sign or sign != machine.deviation_sign:
            (
                machine.deviation_sign,
                machine.deviation_runs,
                machine.deviation_since_ms,
            ) = sign, 0, now_ms
        if not sign:
            return
        machine.deviation_runs += 1
        lasted_ms = now_ms - machine.deviation_since_ms
        if sign > 0:
            has_changed = (
                machine.deviation_runs >= CHANGED_RUNS and lasted_ms >= CHANGED_AFTER_MS
            )
        else:
            has_changed = machine.deviation_runs >= RECOVERED_RUNS
        if has_changed:
            machine.estimate.add_variance(MACHINE_VARIANCE)
            machine.deviation_sign = 0

    def inherit(self, speeds, now_ms):
        """Add speeds that a previous owner announced for unknown machines."""
        for speed in speeds:
            if speed.machine not in self._machines:
                estimate = _new_estimate(speed.log_slowness, INHERITED_VARIANCE, now_ms)
                self._machines[speed.machine] = _Machine(estimate=estimate)
        _drop_oldest(self._machines, MAX_MACHINES)

    # Results -------------------------------------------------------------------

    def log_slowness(self, machine):
        """Return the logarithm of a machine's slowness, 0 if unknown."""
        state = self._machines.get(machine)
        return state.estimate.mean if state is not None else 0.0

    def known_log_slowness(self, machine):
        """Return the logarithm of a machine's slowness, None while it is uncertain."""
        state = self._machines.get(machine)
        if state is None or state.estimate.variance > KNOWN_VARIANCE:
            return None
        return state.estimate.mean

    def slowness(self, machine):
        """Return the factor by which runs take longer than on an average machine.

        Exactly 1 while workers are homogeneous.
        """
        if not self.is_heterogeneous:
            return 1.0
        quanta = round(self.log_slowness(machine) / SLOWNESS_QUANTUM)
        return exp(SLOWNESS_QUANTUM * quanta)

    def review(self, machines):
        """Update `is_heterogeneous`; return whether it changed."""
        all_estimates = [
            self._machines[m].estimate for m in machines if m in self._machines
        ]
        known = [
            estimate
            for estimate in all_estimates
            if estimate.variance <= KNOWN_VARIANCE
        ]
        if not known:
            return False
        if 2 * len(known) >= len(machines):
            self._center(known)
        middle = median(estimate.mean for estimate in known)
        notable = sum(_is_notable(estimate, middle) for estimate in known)
        share = HOMOGENEOUS_SHARE if self.is_heterogeneous else HETEROGENEOUS_SHARE
        was_heterogeneous, self.is_heterogeneous = (
            self.is_heterogeneous,
            notable >= max(2, share * len(known)),
        )
        return was_heterogeneous != self.is_heterogeneous

    def _center(self, known):
        """Shift the estimates so that the average machine has slowness 1.

        Durations alone do not determine this scale, and callers' estimates may be
        biased.
        """
        offset = fmean(estimate.mean for estimate in known)
        for machine in self._machines.values():
            machine.estimate.mean -= offset
        for estimate in chain(self._images.values(), self._steps.values()):
            estimate.mean += offset

    def newly_notable(self, machines):
        """Return the machines that became notably slow or fast, or average again."""
        found = []
        for machine in machines:
            log_slowness = self.known_log_slowness(machine)
            if log_slowness is None:
                continue
            kind = _speed_kind(log_slowness)
            if kind != self._machines[machine].logged_kind:
                self._machines[machine].logged_kind = kind
                found.append((machine, kind, log_slowness))
        return found


def _new_estimate(mean, variance, now_ms):
    most = max(variance, MACHINE_VARIANCE)
    return LogEstimate(mean=mean, variance=variance, at_ms=now_ms, max_variance=most)


def _caller_log_ms(step):
    return log(max(1.0, step.estimated_ms))


def _drop_oldest(rows, most):
    while len(rows) > most:
        rows.popitem(last=False)


def _is_notable(estimate, middle):
    bound = max(NOTABLE, NOTABLE_DEVIATIONS * sqrt(estimate.variance))
    return abs(estimate.mean - middle) > bound


def _speed_kind(log_slowness):
    if log_slowness > log(FAR_SLOWER_FACTOR):
        return "far_slower"
    if log_slowness > NOTABLE:
        return "slow"
    return "fast" if log_slowness < -NOTABLE else "ordinary"
