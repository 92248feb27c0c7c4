"""When runs have ended, by the clocks of their workers."""

from __future__ import annotations

from typing import NamedTuple


# Share of a duration by which it may be wrong and still be measured.
MAX_ERROR_SHARE = 0.25


class EndClock(NamedTuple):
    """Time by which the runs that a report lists as ended had ended.

    :param clock_ms: the worker's clock at the report.
    :param max_error_ms: how much earlier they may have ended.
    """

    clock_ms: int
    max_error_ms: int

    def ms_if_exact(self, start_clock_ms: int | None) -> int | None:
        """Return the end of a run if its duration is known exactly enough.

        :param start_clock_ms: start of the run on the worker's clock.
        """
        if start_clock_ms is None:
            return None
        duration_ms = self.clock_ms - start_clock_ms
        is_exact = self.max_error_ms <= MAX_ERROR_SHARE * duration_ms
        return self.clock_ms if is_exact else None


class _Answer(NamedTuple):
    clock_ms: int
    received_ms: int


class EndClocks:
    """Newest answer of each worker to a renewal of its lease.

    A worker answers as soon as a run ends while a renewal waits there, so that
    the time for which its answer was under way does not matter. A run that
    ended between two renewals, or whose answer was lost, is reported late.
    """

    def __init__(self) -> None:
        self._answer_by_worker: dict[str, _Answer] = {}

    def record(
        self, worker_id: str, clock_ms: int, sent_ms: int, received_ms: int
    ) -> EndClock | None:
        """Record an answer.

        :param sent_ms: when the renewal was sent, by this instance's clock.
        :return: when the runs that it lists as ended had ended; None if that
            is not known.
        """
        last = self._answer_by_worker.get(worker_id)
        self._answer_by_worker[worker_id] = _Answer(clock_ms, received_ms)
        if last is None or clock_ms < last.clock_ms:
            return None
        max_error_ms = min(
            clock_ms - last.clock_ms, max(0, sent_ms - last.received_ms)
        )
        return EndClock(clock_ms, max_error_ms)

    def forget(self, worker_id: str) -> None:
        """Drop the answer of a worker that is gone."""
        self._answer_by_worker.pop(worker_id, None)


__all__ = ["EndClock", "EndClocks"]
