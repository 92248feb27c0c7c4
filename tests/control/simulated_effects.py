"""A controller's calls in virtual time."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from magnoliapitch.control.events import PermitsAnswered
from magnoliapitch.control.events import Committed
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.ledger.leadership import Batch
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.workload.worker import WorkerInfo

if TYPE_CHECKING:
    from tests.control.simulation import Simulation


LINK_MS = 2
COMMIT_MS = 11
LOOK_WAIT_MS = 1_000
ANSWER_TIMEOUT_MS = 700


class SimulatedEffects:
    """Carries out what a controller permit_requests of workers, store and advisor."""

    def __init__(self, scene: Simulation, epoch: int) -> None:
        self._scene = scene
        self._epoch = epoch
        self._open: set[str] = set()
        self._acknowledged: dict[str, int] = {}

    def start_lease_renewal(self, worker: WorkerInfo) -> None:
        self._open.add(worker.worker_id)
        self._look(worker.worker_id)

    def stop_lease_renewal(self, worker_id: str) -> None:
        self._open.discard(worker_id)

    def acknowledge(self, worker_id: str, number: int) -> None:
        self._acknowledged[worker_id] = number

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        scene, sent_ms = self._scene, self._scene.now_ms

        def answer(outcome: object) -> None:
            if self._is_current():
                scene.controller.handle_start_answer(
                    StartAnswered(planned, outcome, sent_ms, scene.now_ms)  # type: ignore[arg-type]
                )

        def arrive() -> None:
            target = scene.workers[worker.worker_id]
            if worker.worker_id in scene.cut:
                lost = Err(may_have_run(FailureCode.TIMEOUT, "cut"))
                scene.at(ANSWER_TIMEOUT_MS, lambda: answer(lost))
                return
            outcome = target.start(order)
            if scene.lose_start(order):
                lost = Err(may_have_run(FailureCode.TIMEOUT, "lost"))
                scene.at(ANSWER_TIMEOUT_MS, lambda: answer(lost))
                return
            scene.at(LINK_MS, lambda: answer(outcome))

        scene.at(LINK_MS, arrive)

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        scene = self._scene

        def arrive() -> None:
            if worker.worker_id in scene.cut or not self._is_current():
                return
            outcome = scene.workers[worker.worker_id].stop(order)
            scene.controller.handle_stop_answer(
                StopAnswered(
                    order.task,
                    order.run,
                    worker.worker_id,
                    outcome,
                    scene.now_ms,
                )
            )

        scene.at(LINK_MS, arrive)

    def commit(self, batch: Batch) -> None:
        scene, sent_ms = self._scene, self._scene.now_ms

        def done() -> None:
            if scene.store_is_away:
                scene.at(COMMIT_MS, done)
                return
            if not self._is_current():
                return
            values = {
                record.key: record.value or None for record in batch.progress
            }
            scene.replica.apply(values, list(values))  # type: ignore[arg-type]
            scene.controller.handle_commit(
                Committed(Ok(0), sent_ms), scene.now_ms
            )
            scene.record_stored()

        scene.at(COMMIT_MS, done)

    def delete_jobs(self, job_ids: Sequence[str]) -> None:
        keys = [
            prefix + job_id
            for job_id in job_ids
            for prefix in (JOB_PREFIX, CANCEL_PREFIX)
        ]
        self._scene.replica.apply({}, keys)

    def request_permits(self, request: PlannedPermitRequest, timeout_ms: int) -> bool:
        del timeout_ms
        scene, sent_ms = self._scene, self._scene.now_ms
        if not scene.reserve_lane():
            return False
        scene.asked += 1

        def done() -> None:
            scene.free_lane()
            chooser = random.Random(f"{request.step}")
            good = {
                worker_id
                for worker_id in sorted(scene.workers)
                if chooser.random() < scene.good_share_of(request.step)
            }
            ticket = f"until {sent_ms + scene.valid_ms(request.step)}"
            permits = tuple(
                Permit(worker_id, ticket)
                for worker_id in request.worker_ids
                if worker_id in good
            )
            if self._is_current():
                scene.controller.handle_permits(
                    PermitsAnswered(request, Ok(permits), sent_ms)
                )

        scene.at(request.expected_call_ms + LINK_MS, done)
        return True

    def available_advisor_calls(self) -> int:
        return self._scene.available_advisor_calls()

    def _is_current(self) -> bool:
        return self._scene.is_current(self._epoch)

    def _look(self, worker_id: str) -> None:
        scene = self._scene
        if worker_id not in self._open or not self._is_current():
            return
        sent_ms = scene.now_ms
        deadline_ms = scene.controller.deadline(worker_id, sent_ms)
        if worker_id in scene.cut:
            failure = not_run(FailureCode.UNAVAILABLE, "cut")
            self._report(worker_id, Err(failure), sent_ms)
            scene.at(300, lambda: self._look(worker_id))
            return
        worker = scene.workers[worker_id]
        acknowledged = self._acknowledged.get(worker_id, 0)
        worker.hold(self._epoch, deadline_ms, acknowledged)

        def answer() -> None:
            worker.waiters.discard(answer_now)
            if worker_id in scene.cut:
                self._look(worker_id)
                return
            self._report(worker_id, Ok(worker.report()), sent_ms)
            scene.at(COMMIT_MS + 2, lambda: self._look(worker_id))

        is_answered: list[bool] = []

        def answer_now() -> None:
            if not is_answered:
                is_answered.append(True)
                scene.at(LINK_MS, answer)

        if worker.ended or deadline_ms is None:
            answer_now()
            return
        worker.waiters.add(answer_now)
        scene.at(LOOK_WAIT_MS, answer_now)

    def _report(self, worker_id: str, outcome: object, sent_ms: int) -> None:
        scene = self._scene
        if self._is_current():
            scene.controller.handle_report(
                WorkerReported(worker_id, outcome, sent_ms, scene.now_ms)  # type: ignore[arg-type]
            )
