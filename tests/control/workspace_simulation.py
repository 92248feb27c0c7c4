"""A simulation that checks the quotas of workspaces on the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.resource import NO_RESOURCES
from tests.control.restarting_workers import RestartingSimulation
from tests.control.run_history import RunHistory


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliapitch.resource import Resources
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.configuration import Workspace
    from magnoliapitch.workload.job import TaskKey
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


# A newer configuration is in force after this time at the latest.
MAX_CONFIGURATION_DELAY_MS = 3_000
# What a start may bring a workspace to, besides one task.
MAX_QUOTA_RATIO = 1.1


class WorkspaceSimulation(RestartingSimulation):
    """Records which quotas were stored when, and checks every start.

    :ivar start_count_by_workspace: starts on the workers.
    """

    def __init__(
        self,
        queues: Sequence[Queue],
        workers: Sequence[WorkerInfo],
        workspaces: Sequence[Workspace],
    ) -> None:
        super().__init__(queues, workers)
        self.history = _QuotaHistory(self)
        self.starts = self.history.starts
        self.crashes_under = self.history.crashes_under
        self.failures_of = self.history.failures_of
        self._stored: list[tuple[int, Mapping[str, Workspace]]] = []
        self._arrived_ms: dict[tuple[TaskKey, int], int] = {}
        self.store_workspaces(workspaces, 0)

    def store_workspaces(
        self, workspaces: Sequence[Workspace], delay_ms: int
    ) -> None:
        """Store a newer configuration, which is in force after a delay."""
        by_name = {workspace.name: workspace for workspace in workspaces}
        self._stored.append((self.now_ms, by_name))
        newer = self.configuration._replace(
            version=len(self._stored) + 1, workspaces_by_name=by_name
        )
        if not delay_ms:
            self._apply(newer)
        else:
            self.schedule(delay_ms, lambda: self._apply(newer))

    def _apply(self, newer: Configuration) -> None:
        if newer.version <= self.configuration.version:
            return
        self.configuration = newer
        self.controller.handle_configuration_changed()

    def late_ms(self, order: StartOrder | StopOrder, late_ms: int) -> int:
        """Record when a start order that is carried out late was sent."""
        self._arrived_ms[order.task, order.run] = self.now_ms
        return late_ms

    def used(self, workspace: str) -> Resources:
        """Return what the active runs of a workspace use on the workers."""
        used = NO_RESOURCES
        for worker in self.workers.values():
            for key, run in worker.running.items():
                if self.specs[key.job_id].workspace == workspace:
                    used = used.plus(run.step.reservation)
        return used

    def check_start(self, task: TaskKey, run: int) -> None:
        """Check the quota that may be in force when an order was sent."""
        spec = self.specs[task.job_id]
        sent_ms = self._arrived_ms.get((task, run), self.now_ms)
        size = spec.steps[task.step].reservation
        used = self.used(spec.workspace)
        quotas = self._quotas_in_force(spec.workspace, sent_ms)
        for number, amount in enumerate(used):
            limits = [quota[number] for quota in quotas]
            if not size[number] or 0 in limits:
                continue
            if amount > MAX_QUOTA_RATIO * max(limits) + size[number]:
                self.violations.append(
                    f"{task} brings {spec.workspace} to {used}; "
                    f"its quota is {quotas}"
                )

    def _quotas_in_force(
        self, workspace: str, sent_ms: int
    ) -> list[Resources]:
        """Return the newest quota and those that were newest not long ago."""
        quotas = []
        until_ms = self.now_ms
        for stored_ms, by_name in reversed(self._stored):
            quotas.append(by_name[workspace].quota)
            until_ms = stored_ms
            if until_ms < sent_ms - MAX_CONFIGURATION_DELAY_MS:
                break
        return quotas


class _QuotaHistory(RunHistory):
    def __init__(self, simulation: WorkspaceSimulation) -> None:
        super().__init__(simulation)
        self._workspace_simulation = simulation

    def record_start(self, task: TaskKey) -> None:
        super().record_start(task)
        for worker in self._workspace_simulation.workers.values():
            run = worker.running.get(task)
            if run is not None:
                self._workspace_simulation.check_start(task, run.order.run)


__all__ = ["WorkspaceSimulation"]
