"""Summary of what the leader's control loop spends its time on."""

from __future__ import annotations

from magnoliapitch.event import log_event


SUMMARY_INTERVAL_MS = 1_000


class LoopSummary:
    """Adds up the times of the control loop and logs them once a second.

    They are of the steady clock, so that they include what the other threads
    of the process take of the processor meanwhile.

    :param started_ms: when the leadership began.
    """

    def __init__(self, started_ms: int) -> None:
        self._logged_ms = started_ms
        self._reset()

    def _reset(self) -> None:
        self._event_count = 0
        self._events_ms = 0
        self._planning_ms = 0
        self._max_planning_ms = 0
        self._pause_ms = 0

    def record_events(self, count: int, duration_ms: int) -> None:
        """Count events that were handled together."""
        self._event_count += count
        self._events_ms += duration_ms

    def record_round(
        self, duration_ms: int, pause_ms: int, now_ms: int
    ) -> None:
        """Count a planning round, and log the time since the last line.

        :param duration_ms: duration of the round.
        :param pause_ms: pause that follows the round.
        """
        self._planning_ms += duration_ms
        self._max_planning_ms = max(self._max_planning_ms, duration_ms)
        self._pause_ms += pause_ms
        elapsed_ms = now_ms - self._logged_ms
        if elapsed_ms < SUMMARY_INTERVAL_MS:
            return
        log_event(
            "control-loop-summary",
            elapsed_ms=elapsed_ms,
            events=self._event_count,
            events_ms=self._events_ms,
            planning_ms=self._planning_ms,
            max_planning_ms=self._max_planning_ms,
            pause_ms=self._pause_ms,
        )
        self._logged_ms = now_ms
        self._reset()


__all__ = ["LoopSummary"]
