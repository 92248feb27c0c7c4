"""Acknowledgement of ended runs, and the log of those that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.workload.run import EndKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.workload.run import EndedRun


class EndAcknowledger:
    """Tells workers which ends are stored.

    :param send: called with a worker's id and the sequence number of its last
        stored end.
    """

    def __init__(self, send: Callable[[str, int], object]) -> None:
        self._send = send
        self._failed_sequences_by_worker: dict[str, list[int]] = {}

    def note(self, worker_id: str, end: EndedRun) -> None:
        """Note an end that a worker has reported, if its run failed."""
        if end.kind is EndKind.FAILED:
            self._failed_sequences_by_worker.setdefault(worker_id, []).append(
                end.sequence
            )

    def forget(self, worker_id: str) -> None:
        """Drop the data of a worker that is gone."""
        self._failed_sequences_by_worker.pop(worker_id, None)

    def acknowledge(self, worker_id: str, sequence: int) -> None:
        """Acknowledge the ends of a worker up to a sequence number."""
        self._send(worker_id, sequence)
        noted = self._failed_sequences_by_worker.pop(worker_id, [])
        failed = [number for number in noted if number <= sequence]
        later = [number for number in noted if number > sequence]
        if later:
            self._failed_sequences_by_worker[worker_id] = later
        if failed:
            log_event(
                "ends-acknowledged",
                worker=worker_id,
                sequence=sequence,
                failed=",".join(map(str, failed)),
            )


__all__ = ["EndAcknowledger"]
