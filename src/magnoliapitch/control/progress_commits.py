"""Commits of the leader's batches, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.progress_records import fail_refused_jobs


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.control.end_acknowledger import EndAcknowledger
    from magnoliapitch.control.events import Committed
    from magnoliapitch.control.progress_batcher import ProgressBatcher
    from magnoliapitch.control.reports import ReportApplier
    from magnoliapitch.control.start_dispatcher import StartDispatcher
    from magnoliapitch.planner.scheduler_state import SchedulerState


class ProgressCommits:
    """Commits batches, and acts on ends and starts once they are stored.

    :param claimed_ms: when the call that stored the claim was sent, by this
        instance's clock.
    :ivar stored_ms: when the newest commit or claim that is stored was sent.
    """

    def __init__(
        self,
        state: SchedulerState,
        progress_batcher: ProgressBatcher,
        report_applier: ReportApplier,
        end_acknowledger: EndAcknowledger,
        starts: StartDispatcher,
        effects: Effects,
        claimed_ms: int,
    ) -> None:
        self.stored_ms = claimed_ms
        self._state = state
        self._progress_batcher = progress_batcher
        self._report_applier = report_applier
        self._end_acknowledger = end_acknowledger
        self._starts = starts
        self._effects = effects
        self._acks_by_worker: dict[str, int] = {}
        self._is_in_flight = False

    @property
    def has_unstored_changes(self) -> bool:
        """Return whether a change is being stored or waits to be."""
        return self._is_in_flight or bool(self._state.unsaved_job_ids)

    def begin(self, now_ms: int) -> None:
        """Commit the next batch, unless a commit is under way."""
        if self._is_in_flight:
            return
        batch = self._progress_batcher.next_batch(
            now_ms, self._starts.queue.has_planned
        )
        if batch is None:
            return
        self._acks_by_worker = self._report_applier.take_end_sequences()
        self._starts.queue.begin_commit(now_ms)
        self._is_in_flight = True
        self._effects.commit(batch)

    def record_answer(self, event: Committed) -> None:
        """Record that a commit has succeeded or failed."""
        self._is_in_flight = False
        if not isinstance(event.outcome, Err):
            self.stored_ms = max(self.stored_ms, event.sent_ms)

    def handle_progress_stored(
        self, now_ms: int, refused_keys: Sequence[str]
    ) -> None:
        """Acknowledge ends and issue starts that waited to be stored.

        :param refused_keys: keys of records that the store refused; their jobs
            fail.
        """
        fail_refused_jobs(self._state, refused_keys)
        acks_by_worker = {} if refused_keys else self._acks_by_worker
        self._acks_by_worker = {}
        for worker_id, sequence in acks_by_worker.items():
            self._end_acknowledger.acknowledge(worker_id, sequence)
        self._starts.queue.record_stored(now_ms)
        self._starts.order_stored(now_ms)


__all__ = ["ProgressCommits"]
