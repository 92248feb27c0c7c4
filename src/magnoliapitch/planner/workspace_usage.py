"""Capacity that the runs of each workspace reserve."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from magnoliapitch.planner.tracked import TrackedRun


KeyT = TypeVar("KeyT")


class UsageKey(NamedTuple):
    """Runs whose usage is summed.

    :param workspace: name of the workspace; empty for jobs without one.
    :param priority: priority of the queue.
    """

    service: str
    workspace: str
    priority: int


class WorkspaceUsage:
    """Usage by workspace, updated as runs are added and removed."""

    def __init__(self) -> None:
        self._total_by_workspace: defaultdict[str, Resources] = defaultdict(
            Resources
        )
        self._used_by_key: defaultdict[UsageKey, Resources] = defaultdict(
            Resources
        )

    def total(self, workspace: str) -> Resources:
        """Return what all runs of a workspace use that may be active."""
        return self._total_by_workspace.get(workspace, NO_RESOURCES)

    def items(self) -> Iterator[tuple[UsageKey, Resources]]:
        """Return the usage by service, workspace and priority."""
        return iter(self._used_by_key.items())

    def add(self, run: TrackedRun) -> None:
        """Add a run that may be active."""
        key = _key_of(run)
        self._used_by_key[key] = self._used_by_key[key].plus(run.resources)
        total = self._total_by_workspace[key.workspace]
        self._total_by_workspace[key.workspace] = total.plus(run.resources)

    def remove(self, run: TrackedRun) -> None:
        """Remove a run that is certainly not active."""
        key = _key_of(run)
        _subtract(self._used_by_key, key, run.resources)
        _subtract(self._total_by_workspace, key.workspace, run.resources)

    def recount(self, runs: Iterable[TrackedRun]) -> None:
        """Sum the usage afresh, since queues may have changed.

        :param runs: every run that may be active.
        """
        self._total_by_workspace.clear()
        self._used_by_key.clear()
        for run in runs:
            self.add(run)


def _key_of(run: TrackedRun) -> UsageKey:
    job = run.task.step.job
    return UsageKey(job.queue.service, job.spec.workspace, job.queue.priority)


def _subtract(
    used_by_key: dict[KeyT, Resources], key: KeyT, amount: Resources
) -> None:
    remaining = used_by_key[key].minus(amount)
    if remaining == NO_RESOURCES:
        del used_by_key[key]
    else:
        used_by_key[key] = remaining
