"""Agents between the controller and the workers, in virtual time."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.events import WorkerReported
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from tests.control.simulated_effects import SimulatedEffects


if TYPE_CHECKING:
    from magnoliapitch.planner.plan import PlannedStart
    from tests.control.simulation import Simulation


MAX_COMMAND_DELAY_MS = 300
MAX_EVENT_DELAY_MS = 400
# Error of the conversion of an agent's clock: calls seem to be this much
# earlier than they were.
MAX_CLOCK_ERROR_MS = 250
LOST_AGENT_PROBABILITY = 0.002


class DelegatedEffects(SimulatedEffects):
    """Delays orders, grants and events, and loses agents.

    Events are delivered in order. A renewal carries the deadline that was
    granted after an earlier report. A lost agent has carried out its orders,
    but what it has not reported yet stays unknown.
    """

    def __init__(self, simulation: Simulation, epoch: int) -> None:
        super().__init__(simulation, epoch)
        self._random = random.Random(f"{epoch}")
        self._deadline_by_worker: dict[str, int | None] = {}
        self._session = 0
        self._deliver_ms = 0

    def _next_deadline(self, worker_id: str) -> int | None:
        return self._deadline_by_worker.get(worker_id)

    def _deliver_start_answer(
        self, planned: PlannedStart, outcome: object, sent_ms: int
    ) -> None:
        session = self._session

        def deliver() -> None:
            answer = outcome if session == self._session else _lost()
            super(DelegatedEffects, self)._deliver_start_answer(
                planned, answer, sent_ms
            )

        self._deliver(deliver)

    def _report(self, worker_id: str, outcome: object, sent_ms: int) -> None:
        session = self._session
        error_ms = self._random.randrange(MAX_CLOCK_ERROR_MS)

        def deliver() -> None:
            if session != self._session:
                return
            super(DelegatedEffects, self)._report(
                worker_id, outcome, sent_ms - error_ms
            )
            self._grant(worker_id)

        self._deliver(deliver)
        if self._random.random() < LOST_AGENT_PROBABILITY:
            self._lose_agents()

    def _deliver(self, action: object) -> None:
        """Deliver an event later, but after all earlier ones."""
        simulation = self._simulation
        due_ms = simulation.now_ms + self._random.randrange(MAX_EVENT_DELAY_MS)
        self._deliver_ms = max(self._deliver_ms, due_ms)
        simulation.schedule(self._deliver_ms - simulation.now_ms, action)  # type: ignore[arg-type]

    def _grant(self, worker_id: str) -> None:
        simulation = self._simulation
        if not self._is_current():
            return
        deadline_ms = simulation.controller.next_lease_deadline(
            worker_id, simulation.now_ms
        )

        def arrive() -> None:
            self._deadline_by_worker[worker_id] = deadline_ms

        delay_ms = self._random.randrange(MAX_COMMAND_DELAY_MS)
        simulation.schedule(delay_ms, arrive)

    def _lose_agents(self) -> None:
        simulation = self._simulation
        self._session += 1
        self._deadline_by_worker.clear()
        if not self._is_current():
            return
        for worker_id in list(self._renewed_worker_ids):
            now_ms = simulation.now_ms
            simulation.controller.handle_report(
                WorkerReported(worker_id, _lost(), now_ms, now_ms)
            )


def _lost() -> Err:  # type: ignore[type-arg]
    return Err(may_have_run(FailureCode.TIMEOUT, "the agent was lost"))
