"""The rule of the quotas of workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.resource import Resources
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepSpec


def passing_count(
    quota: Resources,
    used: Resources,
    task: Resources,
    count: int,
    *,
    is_gang: bool = False,
) -> int:
    """Return how many tasks of a step may start under a quota.

    A start passes if the quota covers it. At or below half the quota, a start
    whose last task exceeds the quota passes too, since a task that is larger
    than what is left would otherwise starve.

    :param quota: most that a workspace may use; a resource of 0 is not
        limited.
    :param used: what the workspace uses.
    :param task: what each task uses.
    :param count: number of tasks that wait.
    :param is_gang: whether the tasks start only together.
    """
    if is_gang:
        return count if _gang_passes(quota, used, task, count) else 0
    fitting_count = count
    for limit, amount, each in zip(quota, used, task, strict=True):
        if not limit:
            continue
        if amount > limit:
            return 0
        if each:
            fitting_count = min(fitting_count, (limit - amount) // each)
    if fitting_count < count and _is_half_free(
        quota, used.plus(task.times(fitting_count))
    ):
        return fitting_count + 1
    return fitting_count


def is_within(quota: Resources, used: Resources) -> bool:
    """Return whether a quota covers what is used."""
    return all(
        not limit or amount <= limit
        for limit, amount in zip(quota, used, strict=True)
    )


def find_quota_failure(
    job: JobSpec, configuration: Configuration | None
) -> Failure | None:
    """Return why a job is rejected because of its workspace's quota.

    That is so if a gang would not pass even if nothing else ran. Waiting
    does not help, so the failure names no time for a retry.
    """
    if configuration is None:
        return None
    workspace = configuration.workspaces_by_name.get(job.workspace)
    if workspace is None or not any(workspace.quota):
        return None
    for number, step in enumerate(job.steps):
        if step.is_gang and not _may_ever_pass(workspace.quota, step):
            needed = step.reservation.times(step.task_count)
            detail = (
                f"step {number} is a gang of {step.task_count} tasks, which "
                f"use {_describe(needed)} together; the quota of workspace "
                f"{workspace.name!r} is {_describe(workspace.quota)}"
            )
            return not_run(FailureCode.QUOTA, detail)
    return None


def _may_ever_pass(quota: Resources, step: StepSpec) -> bool:
    return _gang_passes(quota, NO_RESOURCES, step.reservation, step.task_count)


def _gang_passes(
    quota: Resources, used: Resources, task: Resources, count: int
) -> bool:
    if is_within(quota, used.plus(task.times(count))):
        return True
    return _is_half_free(quota, used) and is_within(
        quota, used.plus(task.times(count - 1))
    )


def _is_half_free(quota: Resources, used: Resources) -> bool:
    return is_within(quota, used.times(2))


def _describe(amount: Resources) -> str:
    """Return an amount as text, without resources of which there is none."""
    parts = (
        (amount.cpu_millis, "thousandths of a core"),
        (amount.memory_mb, "MB of memory"),
        (amount.accelerators, "accelerators"),
    )
    return ", ".join(f"{number} {unit}" for number, unit in parts if number)


__all__ = ["find_quota_failure", "is_within", "passing_count"]
