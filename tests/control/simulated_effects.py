"""The side effects of a controller in virtual time."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.control.events import Committed
from magnoliapitch.control.events import PermitsAnswered
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.stream import MAX_RECORD_BYTES
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.workload.worker import WorkerInfo

if TYPE_CHECKING:
    from tests.control.simulated_worker import SimulatedWorker
    from tests.control.simulation import Simulation


NETWORK_DELAY_MS = 2
COMMIT_DURATION_MS = 11
LONG_POLL_WAIT_MS = 1_000
ANSWER_TIMEOUT_MS = 700


def _carry_out(worker: SimulatedWorker, order: StartOrder | StopOrder) -> None:
    """Carry out an order that nobody waits for any more."""
    if worker.is_down or worker.is_replaced:
        return
    if isinstance(order, StartOrder):
        worker.start(order, is_late=True)
    else:
        worker.stop(order)


def _replaced() -> Result[int, Failure]:
    return Err(not_run(FailureCode.REPLACED, "another incarnation"))


class SimulatedEffects:
    """Carries out a controller's calls to workers, store and advisor."""

    def __init__(self, simulation: Simulation, epoch: int) -> None:
        self._simulation = simulation
        self._epoch = epoch
        self._renewed_worker_ids: set[str] = set()
        self._token_by_worker: dict[str, int] = {}
        self._acknowledged_sequence_by_worker: dict[str, int] = {}
        # Like a lease renewer, it acknowledges nothing after a failed call,
        # and is answered at once.
        self._answering_worker_ids: set[str] = set()

    def start_lease_renewal(self, worker: WorkerInfo, token: int) -> None:
        self._token_by_worker[worker.worker_id] = token
        self._renewed_worker_ids.add(worker.worker_id)
        self._renew(worker.worker_id)

    def stop_lease_renewal(self, worker_id: str) -> None:
        self._renewed_worker_ids.discard(worker_id)

    def acknowledge(self, worker_id: str, sequence: int) -> None:
        self._acknowledged_sequence_by_worker[worker_id] = sequence

    def acknowledged(self, worker_id: str) -> int:
        """Return the last end of a worker that was acknowledged."""
        return self._acknowledged_sequence_by_worker.get(worker_id, 0)

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        simulation, sent_ms = self._simulation, self._simulation.now_ms

        def answer(outcome: object) -> None:
            simulation.order_queue.record_answer(sent_ms, outcome)
            self._deliver_start_answer(planned, outcome, sent_ms)

        def arrive() -> None:
            target = simulation.worker_of(worker.worker_id)
            if simulation.is_silent(worker.worker_id):
                lost = Err(may_have_run(FailureCode.TIMEOUT, "unreachable"))
                simulation.schedule(ANSWER_TIMEOUT_MS, lambda: answer(lost))
                return
            late_ms = simulation.order_late_ms(order)
            if late_ms:
                simulation.schedule(
                    late_ms, partial(_carry_out, target, order)
                )
                lost = Err(may_have_run(FailureCode.TIMEOUT, "late"))
                simulation.schedule(ANSWER_TIMEOUT_MS, lambda: answer(lost))
                return
            outcome = (
                _replaced() if target.is_replaced else target.start(order)
            )
            if target.is_down or simulation.start_answer_lost(order):
                lost = Err(may_have_run(FailureCode.TIMEOUT, "lost"))
                simulation.schedule(ANSWER_TIMEOUT_MS, lambda: answer(lost))
                return
            if simulation.now_ms - sent_ms <= ANSWER_TIMEOUT_MS:
                simulation.schedule(NETWORK_DELAY_MS, lambda: answer(outcome))

        def give_up() -> None:
            lost = Err(may_have_run(FailureCode.TIMEOUT, "queued too long"))
            answer(lost)

        queued_ms = simulation.order_queue.enqueue(is_start=True)
        if queued_ms + NETWORK_DELAY_MS > ANSWER_TIMEOUT_MS:
            simulation.schedule(ANSWER_TIMEOUT_MS, give_up)
        simulation.schedule(queued_ms + NETWORK_DELAY_MS, arrive)

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        simulation = self._simulation

        def arrive() -> None:
            if (
                simulation.is_silent(worker.worker_id)
                or not self._is_current()
            ):
                return
            target = simulation.worker_of(worker.worker_id)
            late_ms = simulation.order_late_ms(order)
            if late_ms:
                simulation.schedule(
                    late_ms, partial(_carry_out, target, order)
                )
                return
            outcome = _replaced() if target.is_replaced else target.stop(order)
            simulation.controller.handle_stop_answer(
                StopAnswered(
                    order.task,
                    order.run,
                    worker.worker_id,
                    outcome,
                    simulation.now_ms,
                )
            )

        queued_ms = simulation.order_queue.enqueue(is_start=False)
        simulation.schedule(queued_ms + NETWORK_DELAY_MS, arrive)

    def commit(self, batch: Batch) -> None:
        simulation, sent_ms = self._simulation, self._simulation.now_ms
        simulation.on_commit(batch)
        simulation.violations += [
            f"record {record.key} has {record.size_bytes} bytes"
            for record in (*batch.progress, *batch.states)
            if record.size_bytes > MAX_RECORD_BYTES
        ]

        def finish() -> None:
            if simulation.store_is_unavailable:
                simulation.schedule(COMMIT_DURATION_MS, finish)
                return
            if not self._is_current():
                return
            values = {
                record.key: record.value or None
                for record in batch.progress
                if not simulation.refuses_record(record)
            }
            refused_keys = tuple(
                record.key
                for record in batch.progress
                if record.key not in values
            )
            if not simulation.freezes_job_table:
                simulation.job_table.apply(values, list(values))
            simulation.history.attempts.record_refused(refused_keys)
            simulation.record_progress(values)
            simulation.controller.handle_progress_stored(
                simulation.now_ms, refused_keys
            )
            if simulation.state_commit_ms:
                simulation.schedule(simulation.state_commit_ms, finish_states)
            else:
                finish_states()

        def finish_states() -> None:
            if not self._is_current():
                return
            simulation.apply_states(batch.states)
            simulation.controller.handle_commit(
                Committed(Ok(0), sent_ms), simulation.now_ms
            )
            simulation.record_stored()

        simulation.schedule(simulation.progress_commit_ms, finish)

    def delete_jobs(self, job_ids: Sequence[str]) -> None:
        if self._simulation.freezes_job_table:
            return
        keys = [
            prefix + job_id
            for job_id in job_ids
            for prefix in (JOB_PREFIX, CANCEL_PREFIX)
        ]
        self._simulation.job_table.apply({}, keys)

    def request_permits(
        self, request: PlannedPermitRequest, timeout_ms: int
    ) -> bool:
        del timeout_ms
        simulation, sent_ms = self._simulation, self._simulation.now_ms
        if not simulation.begin_advisor_call():
            return False
        simulation.advisor_call_count += 1

        def finish() -> None:
            simulation.end_advisor_call()
            permitted_worker_ids = simulation.permitted_worker_ids(
                request.step
            )
            until_ms = sent_ms + simulation.valid_ms(request.step)
            ticket = f"from {sent_ms} until {until_ms}"
            permits = tuple(
                Permit(worker_id, ticket)
                for worker_id in request.worker_ids
                if simulation.worker_of(worker_id).info.worker_id
                in permitted_worker_ids
            )
            if self._is_current():
                simulation.controller.handle_permits(
                    PermitsAnswered(request, Ok(permits), sent_ms),
                    simulation.now_ms,
                )

        simulation.schedule(
            request.expected_call_ms + NETWORK_DELAY_MS, finish
        )
        return True

    def available_start_orders(self) -> int:
        return self._simulation.order_queue.available()

    def max_start_orders(self) -> int:
        return self._simulation.order_queue.limit()

    def idle_advisor_calls(self) -> IdleCalls:
        count = self._simulation.available_advisor_calls()
        return IdleCalls(count, count)

    def _is_current(self) -> bool:
        return self._simulation.is_current(self._epoch)

    def _renew(self, worker_id: str) -> None:
        simulation = self._simulation
        if worker_id not in self._renewed_worker_ids or not self._is_current():
            return
        sent_ms = simulation.now_ms
        deadline_ms = self._next_deadline(worker_id)
        worker = simulation.worker_of(worker_id)
        if simulation.is_silent(worker_id) or worker.is_replaced:
            failure = not_run(FailureCode.UNAVAILABLE, "unreachable")
            outcome = _replaced() if worker.is_replaced else Err(failure)
            self._answering_worker_ids.discard(worker_id)
            self._report(worker_id, outcome, sent_ms)
            simulation.schedule(300, lambda: self._renew(worker_id))
            return
        acknowledged_sequence = 0
        is_answering = worker_id in self._answering_worker_ids
        if is_answering:
            acknowledged_sequence = self.acknowledged(worker_id)
        if not worker.renew_lease(
            self._token_by_worker[worker_id],
            deadline_ms,
            acknowledged_sequence,
        ):
            failure = not_run(FailureCode.FENCED, "a higher token was seen")
            self._report(worker_id, Err(failure), sent_ms)
            simulation.schedule(300, lambda: self._renew(worker_id))
            return
        born_ms = worker.born_ms

        def answer() -> None:
            worker.end_listeners.pop(answer_now, None)
            if worker.born_ms != born_ms:
                self._answering_worker_ids.discard(worker_id)
                lost = Err(may_have_run(FailureCode.TIMEOUT, "reset"))
                self._report(worker_id, lost, sent_ms)
                simulation.schedule(20, lambda: self._renew(worker_id))
                return
            if simulation.is_silent(worker_id) or worker.is_replaced:
                if not simulation.fails_waiting_renewals:
                    self._renew(worker_id)
                    return
                self._answering_worker_ids.discard(worker_id)
                lost = Err(may_have_run(FailureCode.TIMEOUT, "unreachable"))
                self._report(worker_id, lost, sent_ms)
                simulation.schedule(20, lambda: self._renew(worker_id))
                return
            self._answering_worker_ids.add(worker_id)
            self._report(worker_id, Ok(worker.report()), sent_ms)
            simulation.schedule(
                COMMIT_DURATION_MS + 2, lambda: self._renew(worker_id)
            )

        is_answered: list[bool] = []

        def answer_now() -> None:
            if not is_answered:
                is_answered.append(True)
                simulation.schedule(NETWORK_DELAY_MS, answer)

        if worker.ended or deadline_ms is None or not is_answering:
            answer_now()
            return
        worker.end_listeners[answer_now] = None
        simulation.schedule(LONG_POLL_WAIT_MS, answer_now)

    def _next_deadline(self, worker_id: str) -> int | None:
        simulation = self._simulation
        return simulation.controller.next_lease_deadline(
            worker_id, simulation.now_ms
        )

    def _deliver_start_answer(
        self, planned: PlannedStart, outcome: object, sent_ms: int
    ) -> None:
        simulation = self._simulation
        if self._is_current():
            simulation.controller.handle_start_answer(
                StartAnswered(planned, outcome, sent_ms, simulation.now_ms)  # type: ignore[arg-type]
            )

    def _report(self, worker_id: str, outcome: object, sent_ms: int) -> None:
        simulation = self._simulation
        if self._is_current():
            simulation.controller.handle_report(
                WorkerReported(worker_id, outcome, sent_ms, simulation.now_ms)  # type: ignore[arg-type]
            )
