"""Lost workers of which it is not known yet whether they have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.worker_loss import LostRun
from magnoliapitch.planner.worker_loss import count_loss
from magnoliapitch.planner.worker_loss import hold_suspects
from magnoliapitch.planner.worker_loss import withdraw_loss
from magnoliapitch.workload.worker import Incarnation
from magnoliapitch.workload.worker import incarnations_by_name


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked_worker import TrackedWorker
    from magnoliapitch.workload.worker import WorkerInfo


# A worker that is neither back nor replaced by then stays unproven.
KEEP_MS = 120_000
# A worker that was ended by a task is mostly back by then.
HOLD_SUSPECTS_MS = 5_000


class _Loss(NamedTuple):
    """Runs that were lost with a worker.

    :param address: address of the worker; empty if it is not known.
    :param is_counted: whether the tasks count it as a loss.
    """

    address: str
    lost: tuple[LostRun, ...]
    is_counted: bool
    lost_ms: int


class UnprovenLosses:
    """Keeps the runs of workers whose leases expired while they were silent.

    Such a worker may have ended under one of its runs, or may only have been
    cut off. It has ended if another incarnation is listed in its place.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._loss_by_worker: dict[str, _Loss] = {}

    def add(
        self,
        worker: TrackedWorker,
        lost: list[LostRun],
        now_ms: int,
        *,
        is_listed: bool,
        lost_ms: int,
    ) -> None:
        """Add the runs of a worker whose leases have expired.

        :param is_listed: whether the platform still lists the worker, so that
            it is probably only cut off and is not counted meanwhile.
        :param lost_ms: for how long the worker has answered no leader.
        """
        worker_id = worker.worker_id
        if not lost or worker_id in self._loss_by_worker:
            return
        if not is_listed:
            count_loss(self._state, lost)
        hold_suspects(lost, now_ms + HOLD_SUSPECTS_MS, lost_ms)
        self._loss_by_worker[worker_id] = _Loss(
            worker.address, tuple(lost), not is_listed, now_ms
        )

    def record_answer(self, worker_id: str) -> None:
        """Drop the runs of a worker that answers, so it was only cut off."""
        loss = self._loss_by_worker.pop(worker_id, None)
        if loss is not None:
            self._resolve(loss)

    def take_proven(
        self, info_by_id: Mapping[str, WorkerInfo], now_ms: int
    ) -> dict[str, tuple[LostRun, ...]]:
        """Return the runs of workers that have certainly ended, by worker id.

        :param info_by_id: the platform's list.
        """
        if not self._loss_by_worker:
            return {}
        id_by_address = {
            info.address: worker_id for worker_id, info in info_by_id.items()
        }
        listed_by_name = incarnations_by_name(info_by_id)
        proven: dict[str, tuple[LostRun, ...]] = {}
        for worker_id, loss in list(self._loss_by_worker.items()):
            former = Incarnation.from_worker_id(worker_id)
            current = listed_by_name.get(former.name)
            has_restarted = current is not None and current.has_followed(
                former
            )
            at_address = id_by_address.get(loss.address, worker_id)
            if has_restarted or at_address != worker_id:
                del self._loss_by_worker[worker_id]
                self._resolve(loss)
                proven[worker_id] = loss.lost
            elif now_ms - loss.lost_ms > KEEP_MS:
                del self._loss_by_worker[worker_id]
        return proven

    def _resolve(self, loss: _Loss) -> None:
        hold_suspects(loss.lost, 0)
        if loss.is_counted:
            withdraw_loss(self._state, loss.lost)
