"""Runs that have been active for long, stored for the next leaders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import OLD_RUNS_PREFIX
from magnoliapitch.ledger.records import OldRun
from magnoliapitch.ledger.records import decode_old_runs
from magnoliapitch.ledger.records import encode_old_runs
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.planner.worker_loss import HARMLESS_AFTER_MS
from magnoliapitch.planner.worker_loss import is_harmless


if TYPE_CHECKING:
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked_worker import TrackedWorker


UPDATE_INTERVAL_MS = 5_000


class StoredOldRuns:
    """Runs of long-running steps that did not end their workers for long.

    How long a run has been active is known to the leader that has seen it
    begin. Without these records, the next one would suspect runs of any age
    of ending their workers. Runs of other steps are not stored: there are
    many more of them, and each is old for a short time only.
    """

    def __init__(
        self, state: SchedulerState, state_table: StateTable, now_ms: int
    ) -> None:
        self._state = state
        self._updated_ms = now_ms
        # What the store has, or may have once a commit under way is stored.
        self._stored_by_worker = dict(state_table.old_runs_by_worker)
        self._wanted_by_worker = dict(self._stored_by_worker)

    @property
    def has_changes(self) -> bool:
        """Return whether there is something to store."""
        return self._wanted_by_worker != self._stored_by_worker

    def restore(self, now_ms: int) -> None:
        """Take the restored runs that a former leader stored as old."""
        for worker_id, value in self._stored_by_worker.items():
            for old in _decode(worker_id, value):
                run = self._state.run(old.task, old.number, worker_id)
                if run is not None:
                    run.started_ms = now_ms - HARMLESS_AFTER_MS

    def update(self, now_ms: int) -> None:
        """Look for runs that have become old or have ended, if that is due."""
        if now_ms - self._updated_ms < UPDATE_INTERVAL_MS:
            return
        self._updated_ms = now_ms
        self._wanted_by_worker = {
            worker_id: encode_old_runs(runs)
            for worker_id, worker in self._state.workers_by_id.items()
            if (runs := _old_runs(worker, now_ms))
        }

    def take_records(self) -> list[KeyedRecord]:
        """Return the records to store with the next batch."""
        wanted, stored = self._wanted_by_worker, self._stored_by_worker
        records = [
            KeyedRecord(OLD_RUNS_PREFIX + worker_id, value)
            for worker_id, value in wanted.items()
            if stored.get(worker_id) != value
        ]
        records += [
            KeyedRecord(OLD_RUNS_PREFIX + worker_id, b"")
            for worker_id in sorted(stored.keys() - wanted.keys())
        ]
        self._stored_by_worker = dict(wanted)
        return records


def _old_runs(worker: TrackedWorker, now_ms: int) -> list[OldRun]:
    return [
        OldRun(run.task.key, run.number)
        for run in worker.runs
        if run.task.step.spec.is_long_running and is_harmless(run, now_ms)
    ]


def _decode(worker_id: str, value: bytes) -> frozenset[OldRun]:
    try:
        return decode_old_runs(value)
    except ValueError as error:
        key = OLD_RUNS_PREFIX + worker_id
        log_event("record-unreadable", key=key, reason=str(error))
        return frozenset()


__all__ = ["StoredOldRuns"]
