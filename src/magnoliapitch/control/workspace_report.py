"""Log lines and metrics of what waits because of quotas and shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.planner.plan import WorkspaceWaits


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep


# Bounds the length of a line; those with the most waiting steps come first.
MAX_WORKSPACES_PER_LINE = 10


class WorkspaceReport:
    """Reports the steps that wait because of their workspace.

    Nothing is logged while no step does.
    """

    def __init__(
        self, state: SchedulerState, metrics: Metrics | None = None
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._newest = WorkspaceWaits()

    def record(self, waits: WorkspaceWaits) -> None:
        """Record a round; log the steps that it is the first to leave out."""
        self._newest = waits
        for key in waits.newly_held:
            step = self._state.step(key)
            if step is not None:
                self._report_held(step)

    def _report_held(self, step: TrackedStep) -> None:
        name = step.job.spec.workspace
        if self._metrics is not None:
            self._metrics.count("steps_held_by_quota", name)
        log_event(
            "step-held",
            job=step.key.job_id,
            step=step.key.step,
            workspace=name,
            waiting=step.waiting_count,
            task=_text(step.reservation),
            used=_text(self._state.workspace_usage.total(name)),
            quota=_text(self._state.workspaces_by_name[name].quota),
        )

    def log(self) -> None:
        """Log what the newest round left out or placed last, if anything."""
        waits = self._newest
        if not waits.held_steps and not waits.steps_beyond_share:
            return
        log_event(
            "workspace-summary",
            held=_largest(
                waits.held_steps,
                {
                    name: f"{name}:{count}:{waits.held_tasks[name]}"
                    for name, count in waits.held_steps.items()
                },
            ),
            beyond_share=_largest(
                waits.steps_beyond_share,
                {
                    name: f"{name}:{count}"
                    for name, count in waits.steps_beyond_share.items()
                },
            ),
            workspaces_held=len(waits.held_steps),
            workspaces_beyond_share=len(waits.steps_beyond_share),
        )


def _largest(
    count_by_name: Mapping[str, int], texts: Mapping[str, str]
) -> str:
    names = sorted(count_by_name, key=lambda name: -count_by_name[name])
    return ",".join(texts[name] for name in names[:MAX_WORKSPACES_PER_LINE])


def _text(amount: tuple[int, ...]) -> str:
    """Return CPU, memory and accelerators, separated by slashes."""
    return "/".join(str(number) for number in amount)
