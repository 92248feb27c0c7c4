"""Acknowledgement of ended runs, and the log of those that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.workload.run import EndKind


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.workload.run import EndedRun


class EndAcknowledger:
    """Tells workers which ends are stored."""

    def __init__(self, effects: Effects) -> None:
        self._effects = effects
        self._failed_sequences_by_worker: dict[str, list[int]] = {}

    def note(
        self, worker_id: str, ended: Iterable[EndedRun], last_sequence: int
    ) -> None:
        """Note which ends in a report are of runs that failed.

        :param last_sequence: sequence number up to which the ends were noted
            before.
        """
        failed = [
            end.sequence
            for end in ended
            if end.kind is EndKind.FAILED and end.sequence > last_sequence
        ]
        if failed:
            self._failed_sequences_by_worker.setdefault(worker_id, []).extend(
                failed
            )

    def acknowledge(self, worker_id: str, sequence: int) -> None:
        """Acknowledge the ends of a worker up to a sequence number."""
        self._effects.acknowledge(worker_id, sequence)
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
