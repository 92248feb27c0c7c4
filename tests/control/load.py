"""Loads in virtual time: gangs, batches and urgent work together."""

from __future__ import annotations

import random

from typing import NamedTuple

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import AdvicePolicy
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


class Kind(NamedTuple):
    """One kind of job.

    :param per_s: submissions a second.
    :param width: mean number of tasks.
    :param work_ms: mean duration of a task.
    :param worth: what a mean job earns when it keeps its objective.
    :param gang_share: share of the jobs whose tasks run together.
    """

    name: str
    priority: int
    per_s: float
    width: float
    work_ms: float
    size: Resources
    worth: float
    stretch: float
    target_ms: float
    gang_share: float
    advice: AdvicePolicy
    good_share: float = 0.5


KINDS = (
    Kind(
        "plan",
        1,
        0.72,
        6.4,
        6_200,
        Resources(9_000, 26_000),
        15.3,
        2.2,
        1_000,
        1.0,
        AdvicePolicy(390, 5.5, 2_500),
    ),
    Kind(
        "batch",
        2,
        2.2,
        10,
        3_400,
        Resources(2_000, 5_600),
        3.2,
        4.0,
        3_000,
        0.0,
        AdvicePolicy(62, 0.9, 2_500),
    ),
    Kind(
        "urgent",
        0,
        24,
        2,
        640,
        Resources(2_800, 5_700),
        0.4,
        1.5,
        250,
        0.3,
        AdvicePolicy(5.6, 0.08, 2_500),
    ),
)


GROWN_KINDS = (
    Kind(
        "plan",
        1,
        2.38,
        17,
        6_200,
        Resources(9_000, 26_000),
        12.7,
        2.2,
        1_000,
        1.0,
        AdvicePolicy(559, 8.06, 2_500),
        0.35,
    ),
    Kind(
        "batch",
        2,
        3.94,
        35,
        3_400,
        Resources(3_500, 10_000),
        4.8,
        4.0,
        3_000,
        0.0,
        AdvicePolicy(156, 2.34, 2_500),
        0.45,
    ),
    Kind(
        "urgent",
        0,
        68.8,
        3.2,
        640,
        Resources(5_000, 10_000),
        0.38,
        1.5,
        300,
        0.3,
        AdvicePolicy(9.36, 0.13, 2_500),
        0.7,
    ),
)


class Load:
    """Submits jobs to a scene and counts what they earn."""

    def __init__(
        self,
        worker_count: int,
        scale: float,
        seed: int = 1,
        lanes: int = 6,
        kinds: tuple[Kind, ...] = KINDS,
    ) -> None:
        self._kinds = kinds
        self._random = random.Random(seed)
        self._true_ms: dict[TaskKey, float] = {}
        self._kind_by_job: dict[str, Kind] = {}
        self._goal_ms: dict[str, float] = {}
        self._number = 0
        self._scale = scale
        self.factor_by_kind: dict[str, float] = {}
        self.scene = Simulation(
            [
                queue(kind.name, kind.priority, kind.advice)._replace(
                    stretch=kind.stretch, target_ms=kind.target_ms
                )
                for kind in kinds
            ],
            workers(worker_count),
            lanes,
        )
        self.scene.true_ms = self._true_ms.__getitem__
        self.scene.good_share_by_queue = {
            kind.name: kind.good_share for kind in kinds
        }

    def run(self, duration_ms: int) -> None:
        """Submit jobs at random times for a while."""
        for kind in self._kinds:
            factor = self.factor_by_kind.get(kind.name, 1.0)
            rate = kind.per_s * self._scale * factor / 1_000
            at_ms = self._random.expovariate(rate)
            while at_ms < duration_ms:
                self.scene.at(at_ms, lambda kind=kind: self._submit(kind))  # type: ignore[misc]
                at_ms += self._random.expovariate(rate)
        self.scene.run(duration_ms)

    def earned(self, kind: str | None = None) -> float:
        """Return the share that was earned of what could be."""
        owed = got = 0.0
        for job_id, its_kind in self._kind_by_job.items():
            if kind not in (None, its_kind.name):
                continue
            owed += its_kind.worth
            done = self.scene.finished.get(job_id)
            if done is None or done.outcome is not JobState.COMPLETED:
                continue
            goal_ms = self._goal_ms[job_id]
            if done.after_ms <= goal_ms:
                got += its_kind.worth
            elif done.after_ms <= 3 * goal_ms:
                got += 0.2 * its_kind.worth
        return got / max(owed, 1e-9)

    def _submit(self, kind: Kind) -> None:
        self._number += 1
        name = f"{kind.name}{self._number}"
        width = max(1, round(self._skewed(kind.width, 0.6)))
        size = Resources(
            int(min(15_000, self._skewed(kind.size.cpu_millis, 0.4))),
            int(min(52_000, self._skewed(kind.size.memory_mb, 0.5))),
        )
        work_ms = self._skewed(kind.work_ms, 0.5)
        is_gang = self._random.random() < kind.gang_share
        longest_ms = 0.0
        for position in range(width):
            true_ms = work_ms * self._random.uniform(0.8, 1.25)
            if is_gang and position:
                true_ms = longest_ms
            self._true_ms[TaskKey(name, 0, 0, position)] = true_ms
            longest_ms = max(longest_ms, true_ms)
        estimate_ms = int(self._skewed(work_ms, 0.9))
        step = StepSpec(width, size, estimate_ms, is_gang=is_gang)
        self._kind_by_job[name] = kind
        self._goal_ms[name] = kind.target_ms + kind.stretch * longest_ms
        self.scene.submit(JobSpec(name, kind.name, "text", (step,)))

    def _skewed(self, mean: float, spread: float) -> float:
        return mean * self._random.lognormvariate(-spread * spread / 2, spread)


__all__ = ["GROWN_KINDS", "KINDS", "Kind", "Load"]
