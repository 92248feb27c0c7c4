"""Log events and metrics of learned durations and speeds."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.duration import LearnedDurations
    from magnoliapitch.planner.duration.speed_table import SpeedTable


REPORT_INTERVAL_MS = 60_000
CHECK_INTERVAL_MS = 1_000
MAX_LISTED_WORKERS = 4
MAX_LISTED_QUEUES = 12
MAX_SLOWED_PER_INTERVAL = 5
# Loss of speed, as a logarithm, from which a worker is reported: a third.
SLOWED_LOG_LOSS = 0.4
# Speeds with a larger standard deviation (log) are not compared.
MAX_COMPARED_DEVIATION = 0.15


class SpeedReport:
    """Logs what is learned about once a minute, and workers that slow down.

    :param learned: what is learned; None if nothing is.
    """

    def __init__(
        self, learned: LearnedDurations | None, metrics: Metrics
    ) -> None:
        self._learned = learned
        self._metrics = metrics
        self._logged_ms: int | None = None
        self._checked_ms = 0
        self._slowed_count = 0
        self._best_log_speed_by_worker: dict[str, float] = {}

    def record(self, now_ms: int) -> None:
        """Log what is due."""
        if (
            self._learned is None
            or now_ms - self._checked_ms < CHECK_INTERVAL_MS
        ):
            return
        self._checked_ms = now_ms
        self._report_slowed(self._learned.speeds)
        if self._logged_ms is None:
            self._logged_ms = now_ms
        if now_ms - self._logged_ms >= REPORT_INTERVAL_MS:
            self._logged_ms = now_ms
            self._slowed_count = 0
            self._log(self._learned)

    def _report_slowed(self, speeds: SpeedTable) -> None:
        """Log workers that have lost much of their best speed.

        After that, a worker's losses count from its new speed.
        """
        best_by_worker: dict[str, float] = {}
        for worker_id, speed in speeds.speeds_by_id.items():
            log_speed, variance = speed.estimate
            best = self._best_log_speed_by_worker.get(worker_id)
            if math.sqrt(variance) > MAX_COMPARED_DEVIATION:
                if best is not None:
                    best_by_worker[worker_id] = best
                continue
            if best is None:
                best = log_speed
            if best - log_speed >= SLOWED_LOG_LOSS:
                self._log_slowed(worker_id, log_speed, best)
                best = log_speed
            best_by_worker[worker_id] = max(log_speed, best)
        self._best_log_speed_by_worker = best_by_worker

    def _log_slowed(
        self, worker_id: str, log_speed: float, best_log_speed: float
    ) -> None:
        self._metrics.count("workers_slowed")
        self._slowed_count += 1
        if self._slowed_count <= MAX_SLOWED_PER_INTERVAL:
            log_event(
                "worker-slowed",
                worker=worker_id,
                speed=_ratio(log_speed),
                former_speed=_ratio(best_log_speed),
            )

    def _log(self, learned: LearnedDurations) -> None:
        ordered = sorted(
            (estimate.log_speed, worker_id)
            for worker_id, estimate in learned.speeds.estimates_by_id().items()
        )
        queues = sorted(
            learned.work_by_queue.items(),
            key=lambda item: -item[1].figures.weight,
        )
        log_event(
            "durations-learned",
            workers=len(ordered),
            slowest=_listed(ordered[:MAX_LISTED_WORKERS]),
            fastest=_listed(ordered[-MAX_LISTED_WORKERS:][::-1]),
            classes=len(learned.speeds.classes),
            errors=",".join(
                f"{name}:{_deviation(work.figures.step_variance)}"
                f":{_deviation(work.figures.task_variance)}"
                for name, work in queues[:MAX_LISTED_QUEUES]
            ),
        )


def _listed(speeds: list[tuple[float, str]]) -> str:
    return ",".join(
        f"{worker_id}:{_ratio(log_speed)}" for log_speed, worker_id in speeds
    )


def _ratio(log_speed: float) -> float:
    return round(math.exp(log_speed), 2)


def _deviation(variance: float) -> float:
    return round(math.sqrt(variance), 2)


__all__ = ["SpeedReport"]
