"""Runs of workers that have restarted, until the next incarnation reports."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.worker_loss import LostRun


if TYPE_CHECKING:
    from magnoliapitch.workload.run import WorkerReport


class UnreportedLoss(NamedTuple):
    """Runs that may have ended a worker.

    :param former_id: id of the incarnation that has ended.
    """

    former_id: str
    lost: tuple[LostRun, ...]


class UnreportedLosses:
    """Keeps the runs that an incarnation or the next one may have begun.

    A worker may restart before an order reaches it. The next incarnation then
    begins the run, which has not ended the former one.
    """

    def __init__(self) -> None:
        self._loss_by_worker: dict[str, UnreportedLoss] = {}

    def add(self, worker_id: str, loss: UnreportedLoss) -> None:
        """Add the runs of a former incarnation.

        :param worker_id: id of the incarnation that has followed.
        """
        if loss.lost:
            self._loss_by_worker[worker_id] = loss

    def take(
        self, worker_id: str, report: WorkerReport | None = None
    ) -> UnreportedLoss | None:
        """Remove and return the runs that the former incarnation had begun.

        :param report: first report of the incarnation that has followed; None
            if that has ended without one.
        """
        loss = self._loss_by_worker.pop(worker_id, None)
        if loss is None or report is None:
            return loss
        reported = {(run.task, run.run) for run in report.running}
        reported.update((end.task, end.run) for end in report.ended)
        return loss._replace(
            lost=tuple(
                run
                for run in loss.lost
                if (run.task.key, run.number) not in reported
            )
        )


__all__ = ["UnreportedLoss", "UnreportedLosses"]
