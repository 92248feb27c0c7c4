"""Quotas of workspaces, applied to steps and runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.workload.quota import is_within
from magnoliapitch.workload.quota import passing_count


if TYPE_CHECKING:
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.resource import Resources


def passing_tasks(step: TrackedStep, quota: Resources, used: Resources) -> int:
    """Return how many waiting tasks of a step may start under a quota."""
    return passing_count(
        quota,
        used,
        step.reservation,
        step.waiting_count,
        is_gang=step.spec.is_gang,
    )


def exceeds_quota(state: SchedulerState, run: TrackedRun) -> bool:
    """Return whether a run that was planned may not be ordered any more.

    The quota may have been lowered, or unexpected runs may have been found,
    since it was planned. A planned run exceeds the quota by itself at most.
    """
    name = run.task.step.job.spec.workspace
    workspace = state.workspaces_by_name.get(name)
    if workspace is None:
        return False
    used_by_others = state.workspace_usage.total(name).minus(run.resources)
    return not is_within(workspace.quota, used_by_others)
