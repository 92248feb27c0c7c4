"""Summary of the way of starts from the plan to their answers, for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.order_sender import is_unanswered
from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from magnoliapitch.control.effects import Effects
    from magnoliapitch.control.events import StartAnswered
    from magnoliapitch.control.start_queue import StartQueue
    from magnoliapitch.planner.tracked import TrackedRun


SUMMARY_INTERVAL_MS = 1_000


class StartSummary:
    """Logs about once a second where starts wait that were planned.

    Together the fields tell whether the store, the window of orders, or their
    answers limit how many tasks start.

    :param started_ms: when the leadership began.
    """

    def __init__(
        self, queue: StartQueue, effects: Effects, started_ms: int
    ) -> None:
        self._queue = queue
        self._effects = effects
        self._logged_ms = started_ms
        self._answer_count = 0
        self._unanswered_count = 0
        self._answer_ms = 0
        self._max_answer_ms = 0

    def record_answer(
        self, event: StartAnswered, run: TrackedRun | None
    ) -> None:
        """Count the answer to a start order, or that it was given up.

        :param run: the ordered run, or None if it is not tracked any more.
        """
        if is_unanswered(event.outcome):
            self._unanswered_count += 1
            return
        self._answer_count += 1
        if run is not None and run.order_sent_ms is not None:
            age_ms = event.received_ms - run.order_sent_ms
            self._answer_ms += age_ms
            self._max_answer_ms = max(self._max_answer_ms, age_ms)

    def log_if_due(self, now_ms: int) -> None:
        """Log the time since the last line if it is long enough ago."""
        elapsed_ms = now_ms - self._logged_ms
        if elapsed_ms < SUMMARY_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        limit = self._effects.max_start_orders()
        counts = self._queue.counts()
        log_event(
            "start-summary",
            elapsed_ms=elapsed_ms,
            order_limit=limit,
            orders_in_flight=limit - self._effects.available_start_orders(),
            planned=counts.planned,
            in_commit=counts.in_commit,
            stored=counts.stored,
            store_ms=self._queue.store_duration_ms(now_ms),
            answers=self._answer_count,
            mean_answer_ms=self._answer_ms // max(1, self._answer_count),
            max_answer_ms=self._max_answer_ms,
            unanswered=self._unanswered_count,
        )
        self._answer_count = self._unanswered_count = 0
        self._answer_ms = self._max_answer_ms = 0


__all__ = ["StartSummary"]
