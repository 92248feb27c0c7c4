"""Random load in virtual time: gangs, batches and urgent jobs together."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.planner.planner import DEFAULT_OPTIONS
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from magnoliapitch.planner.options import PlanningOptions


class JobKind(NamedTuple):
    """Parameters of one kind of job.

    :param submissions_per_s: mean submissions per second.
    :param mean_task_count: mean number of tasks.
    :param work_ms: mean duration of a task.
    :param size: mean resources of a task.
    :param worth: value of a job that completes within its objective.
    :param stretch: factor of the objective, as in ``Queue``.
    :param target_ms: fixed part of the objective, as in ``Queue``.
    :param gang_share: share of the jobs that are gangs.
    :param permitted_share: share of the workers that the advisor permits.
    """

    name: str
    priority: int
    submissions_per_s: float
    mean_task_count: float
    work_ms: float
    size: Resources
    worth: float
    stretch: float
    target_ms: float
    gang_share: float
    permit_timing: PermitTiming | None
    permitted_share: float = 0.5


JOB_KINDS = (
    JobKind(
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
        PermitTiming(390, 5.5, 2_500),
    ),
    JobKind(
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
        PermitTiming(62, 0.9, 2_500),
    ),
    JobKind(
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
        PermitTiming(5.6, 0.08, 2_500),
    ),
)


LARGE_CLUSTER_JOB_KINDS = (
    JobKind(
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
        PermitTiming(559, 8.06, 2_500),
        0.35,
    ),
    JobKind(
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
        PermitTiming(156, 2.34, 2_500),
        0.45,
    ),
    JobKind(
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
        PermitTiming(9.36, 0.13, 2_500),
        0.7,
    ),
)


class LoadGenerator:
    """Submits random jobs to a simulation and sums the value they earn.

    :param scale: factor of the submission rate of every kind.
    :ivar rate_factor_by_kind: further factors by kind, 1 by default.
    """

    def __init__(
        self,
        worker_count: int,
        scale: float,
        seed: int = 1,
        advisor_call_limit: int = 6,
        kinds: tuple[JobKind, ...] = JOB_KINDS,
        options: PlanningOptions = DEFAULT_OPTIONS,
    ) -> None:
        self._kinds = kinds
        self._random = random.Random(seed)
        self._actual_duration_ms_by_task: dict[TaskKey, float] = {}
        self._kind_by_job: dict[str, JobKind] = {}
        self._objective_ms_by_job: dict[str, float] = {}
        self._number = 0
        self._scale = scale
        self.rate_factor_by_kind: dict[str, float] = {}
        self.simulation = Simulation(
            [
                queue(kind.name, kind.priority, kind.permit_timing)._replace(
                    stretch=kind.stretch, target_ms=kind.target_ms
                )
                for kind in kinds
            ],
            workers(worker_count),
            advisor_call_limit,
            options=options,
        )
        self.simulation.actual_duration_ms = (
            self._actual_duration_ms_by_task.__getitem__
        )
        self.simulation.permitted_share_by_queue = {
            kind.name: kind.permitted_share for kind in kinds
        }

    def run(self, duration_ms: int) -> None:
        """Submit jobs at random times for a while."""
        for kind in self._kinds:
            factor = self.rate_factor_by_kind.get(kind.name, 1.0)
            rate = kind.submissions_per_s * self._scale * factor / 1_000
            at_ms = self._random.expovariate(rate)
            while at_ms < duration_ms:
                self.simulation.schedule(
                    at_ms,
                    lambda kind=kind: self._submit(kind),  # type: ignore[misc]
                )
                at_ms += self._random.expovariate(rate)
        self.simulation.run(duration_ms)

    def earned_share(self, kind: str | None = None) -> float:
        """Return the earned share of the greatest value that could be earned.

        A job within its objective earns its full value, one within three
        times its objective a fifth of it, a later one nothing.

        :param kind: count only jobs of this kind.
        """
        possible_worth = earned_worth = 0.0
        for job_id, job_kind in self._kind_by_job.items():
            if kind not in (None, job_kind.name):
                continue
            possible_worth += job_kind.worth
            done = self.simulation.finished.get(job_id)
            if done is None or done.outcome is not JobState.COMPLETED:
                continue
            objective_ms = self._objective_ms_by_job[job_id]
            if done.after_ms <= objective_ms:
                earned_worth += job_kind.worth
            elif done.after_ms <= 3 * objective_ms:
                earned_worth += 0.2 * job_kind.worth
        return earned_worth / max(possible_worth, 1e-9)

    def _submit(self, kind: JobKind) -> None:
        self._number += 1
        name = f"{kind.name}{self._number}"
        task_count = max(1, round(self._skewed(kind.mean_task_count, 0.6)))
        size = Resources(
            int(min(15_000, self._skewed(kind.size.cpu_millis, 0.4))),
            int(min(52_000, self._skewed(kind.size.memory_mb, 0.5))),
        )
        work_ms = self._skewed(kind.work_ms, 0.5)
        is_gang = self._random.random() < kind.gang_share
        longest_ms = 0.0
        for position in range(task_count):
            actual_duration_ms = work_ms * self._random.uniform(0.8, 1.25)
            if is_gang and position:
                actual_duration_ms = longest_ms
            self._actual_duration_ms_by_task[TaskKey(name, 0, 0, position)] = (
                actual_duration_ms
            )
            longest_ms = max(longest_ms, actual_duration_ms)
        estimate_ms = int(self._skewed(work_ms, 0.9))
        step = StepSpec(task_count, size, estimate_ms, is_gang=is_gang)
        self._kind_by_job[name] = kind
        self._objective_ms_by_job[name] = (
            kind.target_ms + kind.stretch * longest_ms
        )
        self.submit(kind, JobSpec(name, kind.name, "text", (step,)))

    def submit(self, kind: JobKind, job: JobSpec) -> None:
        """Submit a job; replaced where submissions may be rejected."""
        del kind
        self.simulation.submit(job)

    def _skewed(self, mean: float, spread: float) -> float:
        return mean * self._random.lognormvariate(-spread * spread / 2, spread)


__all__ = ["LARGE_CLUSTER_JOB_KINDS", "JOB_KINDS", "JobKind", "LoadGenerator"]
