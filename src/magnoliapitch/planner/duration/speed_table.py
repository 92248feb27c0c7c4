"""Speeds of all workers, and the classes in which they count as equal."""

from __future__ import annotations

import math

from collections import defaultdict
from itertools import chain
from statistics import fmean
from statistics import pvariance
from typing import TYPE_CHECKING

from magnoliapitch.planner.duration.worker_speed import PRIOR_SPEED_VARIANCE
from magnoliapitch.planner.duration.worker_speed import SpeedEstimate
from magnoliapitch.planner.duration.worker_speed import WorkerSpeed


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


# Logarithmic width of a class of speeds.
CLASS_WIDTH = 0.3
# Deviation of the logarithms of the speeds from which workers are uneven.
MIN_SPREAD = 0.25
# A speed differs from the nominal one only if it does by this many deviations
# of its error.
MIN_CLASS_DEVIATIONS = 2.0
# Workers whose speeds are at least this certain tell about those of others.
MAX_KNOWN_VARIANCE = 0.04
MIN_KNOWN_OF_KIND = 3
# Kinds explain the speeds if these differ this much less within a kind.
EXPLAINED_SHARE = 0.6
MIN_PRIOR_VARIANCE = 0.01
# Time in which a new leader has read the list of workers.
KEEP_RESTORED_MS = 60_000
UNKNOWN = SpeedEstimate(0.0, PRIOR_SPEED_VARIANCE)


class SpeedTable:
    """Learned speed of each worker, by the id of its incarnation.

    :ivar speeds_by_id: the speeds.
    :ivar class_by_id: class of each worker whose speed is not nominal; the
        classes are numbers that grow with the speed, and 0 is nominal.
    :ivar is_uneven: whether the workers differ by more than the tasks of a
        step usually do.
    :ivar classes: the classes of all workers, the slowest first.
    """

    def __init__(self) -> None:
        self.speeds_by_id: dict[str, WorkerSpeed] = {}
        self.class_by_id: dict[str, int] = {}
        self.classes: tuple[int, ...] = (0,)
        self.is_uneven = False
        self._restored_by_id: dict[str, SpeedEstimate] = {}
        self._restored_until_ms: int | None = None

    def restore(self, estimates_by_id: Mapping[str, SpeedEstimate]) -> None:
        """Start from stored speeds, of workers that will be listed yet."""
        self._restored_by_id = dict(estimates_by_id)
        self._restored_until_ms = None

    def estimates_by_id(self) -> dict[str, SpeedEstimate]:
        """Return all speeds, with those restored of unlisted workers."""
        listed = {
            worker_id: speed.estimate
            for worker_id, speed in self.speeds_by_id.items()
        }
        return {**self._restored_by_id, **listed}

    def estimate(self, worker_id: str) -> SpeedEstimate:
        """Return what is learned of a worker's speed."""
        speed = self.speeds_by_id.get(worker_id)
        return UNKNOWN if speed is None else speed.estimate

    def add_error(
        self,
        worker_id: str,
        error: float,
        work_variance: float,
        task_variance: float,
        now_ms: int,
    ) -> None:
        """Add the error of a worker's speed in a measurement.

        :param error: logarithm of the measured to the learned speed.
        :param work_variance: variance of the error of the step's work.
        :param task_variance: variance of the tasks of one step.
        """
        speed = self.speeds_by_id.get(worker_id)
        if speed is not None:
            error_variance = work_variance + task_variance
            speed.add(
                speed.estimate.log_speed + error,
                error_variance,
                now_ms,
                task_variance / error_variance,
            )

    def set_workers(self, kind_by_id: Mapping[str, str], now_ms: int) -> None:
        """Add new workers and drop those that are gone.

        :param kind_by_id: kind of each worker, from its labels.
        """
        self._drop_restored(now_ms)
        if kind_by_id.keys() == self.speeds_by_id.keys():
            return
        known = self._known_by_kind()
        self.speeds_by_id = {
            worker_id: self.speeds_by_id.get(worker_id)
            or WorkerSpeed(
                self._restored_by_id.get(worker_id) or _prior(known, kind),
                kind,
                now_ms,
            )
            for worker_id, kind in kind_by_id.items()
        }

    def _drop_restored(self, now_ms: int) -> None:
        """Drop restored speeds of workers that were not listed for long."""
        if self._restored_until_ms is None:
            self._restored_until_ms = now_ms + KEEP_RESTORED_MS
        elif now_ms > self._restored_until_ms:
            self._restored_by_id = {}

    def normalise(self) -> float:
        """Make the mean speed of the known workers the nominal one.

        :return: what was subtracted from each speed.
        """
        known = list(chain.from_iterable(self._known_by_kind().values()))
        if not known:
            return 0.0
        mean = fmean(known)
        for speed in self.speeds_by_id.values():
            log_speed, variance = speed.estimate
            speed.estimate = SpeedEstimate(log_speed - mean, variance)
        return mean

    def classify(self) -> None:
        """Assign the workers to classes of speeds."""
        self.is_uneven = self._spread() >= MIN_SPREAD
        class_by_id = {
            worker_id: _class_of(speed.estimate)
            for worker_id, speed in self.speeds_by_id.items()
        }
        self.classes = tuple(sorted(set(class_by_id.values()))) or (0,)
        self.class_by_id = {
            worker_id: number
            for worker_id, number in class_by_id.items()
            if number
        }

    def _spread(self) -> float:
        """Return the deviation of the known speeds, without their errors."""
        known = [
            speed.estimate
            for speed in self.speeds_by_id.values()
            if speed.estimate.variance <= MAX_KNOWN_VARIANCE
        ]
        if not known:
            return 0.0
        variance = pvariance(estimate.log_speed for estimate in known)
        error = fmean(estimate.variance for estimate in known)
        return math.sqrt(max(0.0, variance - error))

    def _known_by_kind(self) -> dict[str, list[float]]:
        known: defaultdict[str, list[float]] = defaultdict(list)
        for speed in self.speeds_by_id.values():
            if speed.estimate.variance <= MAX_KNOWN_VARIANCE:
                known[speed.kind].append(speed.estimate.log_speed)
        return known


def log_speed_of_class(number: int) -> float:
    """Return the logarithm of the speed that stands for a class."""
    return CLASS_WIDTH * number


def kind_of(labels: Iterable[str], rack: str) -> str:
    """Return the kind of a worker: its labels without that of its rack."""
    return ",".join(sorted(label for label in labels if label != rack))


def _class_of(estimate: SpeedEstimate) -> int:
    log_speed, variance = estimate
    if abs(log_speed) < MIN_CLASS_DEVIATIONS * math.sqrt(variance):
        return 0
    return round(log_speed / CLASS_WIDTH)


def _prior(
    known_by_kind: Mapping[str, list[float]], kind: str
) -> SpeedEstimate:
    """Return what is expected of the speed of a new worker."""
    all_known = list(chain.from_iterable(known_by_kind.values()))
    of_kind = known_by_kind.get(kind, [])
    if len(of_kind) < MIN_KNOWN_OF_KIND or len(known_by_kind) < 2:
        return UNKNOWN
    variance = pvariance(of_kind)
    if variance > EXPLAINED_SHARE * pvariance(all_known):
        return UNKNOWN
    return SpeedEstimate(fmean(of_kind), max(MIN_PRIOR_VARIANCE, variance))


__all__ = ["SpeedTable", "kind_of", "log_speed_of_class"]
