"""Decides whether a submitted job is admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.admission.figures import LoadFigures
from magnoliapitch.admission.retry import retry_after_ms
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    import random

    from magnoliapitch.admission.figures import QueueLoad
    from magnoliapitch.admission.figures import ServiceCapacity
    from magnoliapitch.resource import Resources
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepSpec


# Older figures decide nothing.
MAX_AGE_MS = 2_000
# A completion after this multiple of the objective is of no value.
MAX_USEFUL_COMPLETION_RATIO = 3.0
# Jobs of a queue differ in their path, and a longer path has a longer
# objective. With a spread of 0.5 (log), 8 in 100 paths exceed this multiple
# of the expected one.
PATH_MARGIN_RATIO = 2.0


class AgedFigures(NamedTuple):
    """Load figures and their age.

    :param age_ms: time since this instance read them.
    """

    figures: LoadFigures
    age_ms: int


class Rejection(NamedTuple):
    """A rejection and the figures that decided it.

    :param wait_ms: lower bound of the wait.
    :param max_wait_ms: longest wait after which the job is still of use.
    """

    failure: Failure
    wait_ms: int = 0
    max_wait_ms: int = 0


def decide(
    job: JobSpec,
    queue: Queue,
    load: AgedFigures | None,
    randomness: random.Random,
) -> Rejection | None:
    """Decide on a job; in doubt, admit it.

    :param queue: queue of the job.
    :param load: newest load figures; None if there are none.
    :return: None if the job is admitted.
    """
    if load is None or not 0 <= load.age_ms < MAX_AGE_MS:
        return None
    capacity = load.figures.services_by_name.get(queue.service)
    if capacity is None or not capacity.largest:
        return None
    too_large = _too_large_step(job, capacity)
    if too_large is not None:
        return Rejection(_impossible(too_large, queue))
    queue_load = load.figures.queues_by_name.get(queue.name)
    if queue_load is None or not _loses_value_late(job, queue):
        return None
    wait_ms = min(
        queue_load.wait_ms(job.workspace, step.reservation)
        for step in _first_steps(job)
    )
    max_wait_ms = _max_useful_wait_ms(job, queue, queue_load)
    if wait_ms <= max_wait_ms or _has_room(job, capacity):
        return None
    retry_ms = retry_after_ms(wait_ms - max_wait_ms, randomness)
    failure = not_run(
        FailureCode.OVERLOADED,
        f"queue {queue.name!r} has a wait of at least {wait_ms} ms, and the "
        f"job is of use after at most {max_wait_ms:.0f} ms; the job was not "
        "stored",
        retry_ms,
    )
    return Rejection(failure, wait_ms, int(max_wait_ms))


def _too_large_step(
    job: JobSpec, capacity: ServiceCapacity
) -> StepSpec | None:
    for step in job.steps:
        if not any(
            step.reservation.fits(worker) for worker in capacity.largest
        ):
            return step
    return None


def _impossible(step: StepSpec, queue: Queue) -> Failure:
    return not_run(
        FailureCode.IMPOSSIBLE,
        f"a task needs {_describe(step.reservation)}, which no worker of "
        f"service {queue.service!r} has; the job was not stored",
    )


def _describe(amount: Resources) -> str:
    return (
        f"{amount.cpu_millis} thousandths of a core, {amount.memory_mb} MB "
        f"and {amount.accelerators} accelerators"
    )


def _loses_value_late(job: JobSpec, queue: Queue) -> bool:
    """Return whether a late completion is certainly of no use.

    Services and recurring jobs are of use whenever they run. A queue with
    neither a target nor a stretch has no objective.
    """
    has_objective = queue.target_ms > 0 or queue.stretch > 1
    is_service = any(step.is_long_running for step in job.steps)
    return has_objective and not is_service and not job.run_count


def _max_useful_wait_ms(
    job: JobSpec, queue: Queue, queue_load: QueueLoad
) -> float:
    """Return the longest wait after which the job may still be of use.

    The slack is linear in the path, so one end of the range of possible paths
    has the longest one.
    """
    longest_path_ms = PATH_MARGIN_RATIO * max(
        queue_load.path_ms, _declared_path_ms(job)
    )
    return max(
        MAX_USEFUL_COMPLETION_RATIO
        * (queue.target_ms + queue.stretch * path_ms)
        - path_ms
        for path_ms in (0.0, longest_path_ms)
    )


def _declared_path_ms(job: JobSpec) -> float:
    path_ms_by_step: list[float] = []
    for step in job.steps:
        before_ms = max(
            (path_ms_by_step[number] for number in step.depends_on),
            default=0.0,
        )
        path_ms_by_step.append(before_ms + max(0, step.estimate_ms))
    return max(path_ms_by_step, default=0.0)


def _has_room(job: JobSpec, capacity: ServiceCapacity) -> bool:
    """Return whether a first step may find free capacity at once.

    One task of a step that is no gang is enough; a gang needs capacity for
    all of its tasks.
    """
    return any(
        step.reservation.times(_least_task_count(step)).fits(
            capacity.free_total
        )
        and any(step.reservation.fits(worker) for worker in capacity.free)
        for step in _first_steps(job)
    )


def _first_steps(job: JobSpec) -> list[StepSpec]:
    return [step for step in job.steps if not step.depends_on]


def _least_task_count(step: StepSpec) -> int:
    return step.task_count if step.is_gang else 1


__all__ = ["MAX_AGE_MS", "AgedFigures", "Rejection", "decide"]
