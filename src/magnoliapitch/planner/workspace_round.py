"""Quotas and fair shares of workspaces in one planning round."""

from __future__ import annotations

import sys

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.planner.plan import WorkspaceWaits
from magnoliapitch.planner.quota import passing_tasks
from magnoliapitch.planner.workspace_shares import order_by_shares
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.workload.job import StepKey


# Tasks that may wait for permits, as a multiple of those that the quota still
# lets start. Some permits are refused, or come when nothing fits.
PREPARED_QUOTA_FACTOR = 4


class WorkspaceRound:
    """Limits the starts of one round to the quotas of the workspaces.

    Without configured workspaces it changes nothing.

    :ivar held_count: number of steps that were left out after the order was
        made, since earlier steps used up the quota.
    """

    def __init__(self, state: SchedulerState) -> None:
        self.held_count = 0
        self._state = state
        self._quota_by_workspace = {
            name: workspace.quota
            for name, workspace in state.workspaces_by_name.items()
            if any(workspace.quota)
        }
        self._used_by_workspace = {
            name: state.workspace_usage.total(name)
            for name in self._quota_by_workspace
        }
        self._awaiting_by_workspace = dict.fromkeys(
            self._quota_by_workspace, NO_RESOURCES
        )
        self._start_count = 0
        self._started_workspaces: set[str] = set()
        self._beyond_share: Mapping[str, int] = {}
        self._held_steps: Counter[str] = Counter()
        self._held_tasks: Counter[str] = Counter()
        self._newly_held: list[StepKey] = []

    def order(self, ranked_steps: list[TrackedStep]) -> list[TrackedStep]:
        """Return the steps to place, in the order in which to place them.

        Steps none of whose tasks passes its quota are left out. Those that
        exceed the fair share of their workspace come last.
        """
        if not self._state.workspaces_by_name:
            return ranked_steps
        passing = [step for step in ranked_steps if self._passes(step)]
        ordered = order_by_shares(self._state, passing)
        self._beyond_share = ordered.beyond_count_by_workspace
        return ordered.steps

    def _passes(self, step: TrackedStep) -> bool:
        step.start_limit = sys.maxsize
        if self._limit(step):
            return True
        name = step.job.spec.workspace
        self._held_steps[name] += 1
        self._held_tasks[name] += step.waiting_count
        if not step.is_held:
            step.is_held = True
            self._newly_held.append(step.key)
        return False

    def lets_start(self, step: TrackedStep) -> bool:
        """Return whether a task of a step may start now."""
        if step.job.spec.workspace not in self._started_workspaces:
            return True
        if self._limit(step):
            return True
        self.held_count += 1
        return False

    def _limit(self, step: TrackedStep) -> bool:
        """Limit the starts of a step; return whether a task may start."""
        name = step.job.spec.workspace
        quota = self._quota_by_workspace.get(name)
        if quota is None:
            return True
        count = passing_tasks(step, quota, self._used_by_workspace[name])
        step.start_limit = min(step.start_limit, count)
        return count > 0

    def record_starts(self, step: TrackedStep, start_count: int) -> None:
        """Count the starts that were planned for a step.

        :param start_count: number of starts in the round so far.
        """
        count = start_count - self._start_count
        self._start_count = start_count
        name = step.job.spec.workspace
        if count and name in self._used_by_workspace:
            step.is_held = False
            self._started_workspaces.add(name)
            self._used_by_workspace[name] = self._used_by_workspace[name].plus(
                step.reservation.times(count)
            )

    def record_awaiting(self, step: TrackedStep) -> None:
        """Count the tasks of a step that waits for permits."""
        name = step.job.spec.workspace
        if name in self._awaiting_by_workspace:
            self._awaiting_by_workspace[name] = self._awaiting_by_workspace[
                name
            ].plus(step.reservation.times(step.startable_count))

    def may_request(self, step: TrackedStep) -> bool:
        """Return whether the quota lets permits for a step be used.

        Otherwise a workspace near its quota would ask for permits for all
        its waiting tasks, few of which could start before they expire.
        """
        name = step.job.spec.workspace
        quota = self._quota_by_workspace.get(name)
        if quota is None:
            return True
        awaiting = _divided(
            self._awaiting_by_workspace[name], PREPARED_QUOTA_FACTOR
        )
        used = self._used_by_workspace[name].plus(awaiting)
        return passing_tasks(step, quota, used) > 0

    def waits(self) -> WorkspaceWaits:
        """Return what waits because of quotas and shares."""
        return WorkspaceWaits(
            self._held_steps,
            self._held_tasks,
            self._beyond_share,
            newly_held=tuple(self._newly_held),
        )


def _divided(amount: Resources, divisor: int) -> Resources:
    return Resources(
        amount.cpu_millis // divisor,
        amount.memory_mb // divisor,
        amount.accelerators // divisor,
    )
