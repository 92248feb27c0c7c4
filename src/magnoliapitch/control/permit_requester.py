"""Requests to the advisor for permits, and its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.control.events import PermitsAnswered
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.workload.job import StepKey


# Timeout of an advisor call, as a multiple of its expected duration, and what
# is added to it. An urgent step must not wait for a peer that is cut off.
TIMEOUT_FACTOR = 2
BASE_TIMEOUT_MS = 700


class FailedCalls(NamedTuple):
    """Calls for a step that failed since the last answer.

    :param in_a_row: number of these calls.
    :param last_ms: when the last one failed.
    """

    in_a_row: int
    last_ms: int


class PermitRequester:
    """Has at most one advisor call for each step under way.

    :ivar failed_calls_by_step: only steps whose last call has failed.
    """

    def __init__(self, state: SchedulerState, effects: Effects) -> None:
        self.failed_calls_by_step: dict[StepKey, FailedCalls] = {}
        self._state = state
        self._effects = effects

    def request(self, requests: Iterable[PlannedPermitRequest]) -> None:
        """Call the advisor for the steps without a call under way."""
        for request in requests:
            step = self._state.step(request.step)
            if step is None or step.has_call_in_flight:
                continue
            timeout_ms = BASE_TIMEOUT_MS + int(
                TIMEOUT_FACTOR * request.expected_call_ms
            )
            if self._effects.request_permits(request, timeout_ms):
                step.in_flight_worker_ids = frozenset(request.worker_ids)

    def handle_answer(self, event: PermitsAnswered, now_ms: int) -> None:
        """Record the permits that the advisor gave, or log its failure."""
        key = event.request.step
        step = self._state.step(key)
        if step is None:
            self.failed_calls_by_step.pop(key, None)
            return
        step.in_flight_worker_ids = frozenset()
        if isinstance(event.outcome, Err):
            self._record_failure(key, now_ms)
            log_event(
                "advice-failed",
                job=key.job_id,
                step=key.step,
                reason=event.outcome.err_value.detail,
            )
            return
        self.failed_calls_by_step.pop(key, None)
        permits = event.outcome.ok_value
        permit_timing = step.job.queue.permit_timing
        valid_ms = permit_timing.valid_ms if permit_timing else 0
        log_event(
            "advice-received",
            job=key.job_id,
            step=key.step,
            asked=len(event.request.worker_ids),
            permitted=len(permits),
        )
        self._state.record_permits(
            key, event.request.worker_ids, permits, event.issued_ms + valid_ms
        )

    def keep_waiting(self) -> None:
        """Forget failed calls of steps that wait no longer."""
        self.failed_calls_by_step = {
            key: failed
            for key, failed in self.failed_calls_by_step.items()
            if key in self._state.waiting_steps
        }

    def _record_failure(self, key: StepKey, now_ms: int) -> None:
        former = self.failed_calls_by_step.get(key)
        in_a_row = former.in_a_row if former is not None else 0
        self.failed_calls_by_step[key] = FailedCalls(in_a_row + 1, now_ms)


__all__ = ["FailedCalls", "PermitRequester"]
