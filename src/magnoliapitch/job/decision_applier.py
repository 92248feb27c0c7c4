"""Application of the scheduler's decisions to the channels of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.job.attempt import Attempt
from magnoliapitch.job.attempt import TaskKey
from magnoliapitch.job.spec import parse_lease_id


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from magnoliapitch.decision.interface import Eviction
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.interface import Scheduler
    from magnoliapitch.job.backlog import Backlog
    from magnoliapitch.job.channel import WorkerChannel
    from magnoliapitch.job.tracker import AttemptTracker
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.metric import Metrics


MAX_DECISIONS_PER_STEP = 16


class DecisionApplier:
    """Asks the scheduler for decisions and hands them to the channels.

    :param channels_by_worker: channels of the workers of owned racks.
    :param is_releasing: returns whether the rack of a channel's worker is
        being handed over.
    """

    def __init__(
        self,
        journal: Journal,
        scheduler: Scheduler,
        backlog: Backlog,
        tracker: AttemptTracker,
        channels_by_worker: Mapping[str, WorkerChannel],
        is_releasing: Callable[[WorkerChannel], bool],
        metrics: Metrics,
    ) -> None:
        self._journal = journal
        self._scheduler = scheduler
        self._backlog = backlog
        self._tracker = tracker
        self._channels_by_worker = channels_by_worker
        self._is_releasing = is_releasing
        self._metrics = metrics

    def apply_decisions(self, now_ms: int) -> None:
        """Apply decisions until there are no more, or enough for a step."""
        for _ in range(MAX_DECISIONS_PER_STEP):
            with self._metrics.timing("decision"):
                decision = self._scheduler.decide(now_ms)
            self._apply_placements(decision.placements, now_ms)
            self._apply_evictions(decision.evictions)
            if not decision.has_more:
                break

    def _apply_placements(
        self, placements: tuple[Placement, ...], now_ms: int
    ) -> None:
        for placement in placements:
            attempt_key = parse_lease_id(placement.attempt_id)
            channel = self._channels_by_worker.get(placement.worker_id)
            if attempt_key is None or channel is None:
                continue
            task_key = TaskKey(attempt_key.job_id, attempt_key.task)
            request = self._backlog.pop(task_key)
            if request is None:
                continue
            attempt = Attempt(
                attempt_key,
                request,
                placement.worker_id,
                placement.reserved,
                self._payload(attempt_key.job_id),
            )
            self._tracker.add(channel, attempt)
            waited_ms = now_ms - request.submitted_ms
            self._metrics.observe("task_wait", waited_ms, request.work_class)
            is_releasing = self._is_releasing(channel)
            if channel.accepts_starts and not is_releasing:
                channel.pending_starts[request.attempt_id] = None
            else:
                self._tracker.requeue(channel, attempt, now_ms)

    def _payload(self, job_id: str) -> str:
        with self._journal.locked_state() as state:
            job = state.jobs_by_id.get(job_id)
            return job.spec.payload if job else ""

    def _apply_evictions(self, evictions: tuple[Eviction, ...]) -> None:
        for eviction in evictions:
            channel = self._channels_by_worker.get(eviction.worker_id)
            if channel is None:
                continue
            if eviction.action is EvictionAction.THROTTLE:
                channel.pending_throttles_by_lease[eviction.attempt_id] = (
                    eviction.cpu_millis
                )
            elif eviction.action is EvictionAction.CHECKPOINT:
                channel.pending_checkpoints[eviction.attempt_id] = None
            else:
                channel.pending_stops[eviction.attempt_id] = None


__all__ = ["DecisionApplier"]
