"""Room that services which lost their workers will need to start again."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import free_task_count
from magnoliapitch.planner.candidates import room_beside_services
from magnoliapitch.planner.expected_starts import restarts
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.candidates import CandidateWorkers
    from magnoliapitch.planner.expected_starts import ExpectedStart
    from magnoliapitch.planner.expected_starts import LostRun
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep


# Bounds the duration of a round.
REFRESH_INTERVAL_MS = 40
MAX_EXAMINED_WORKERS = 128


class KeptRoom:
    """Keeps first starts of services off the room that others will need.

    Tasks of services never free their room, and are never stopped for
    others. What lost its workers is down until it finds room, while a service
    that starts later keeps its value. Other work may use the room meanwhile.

    :ivar unplaced: expected starts for which no worker is known, with the
        number of their tasks.
    """

    def __init__(self) -> None:
        self.unplaced: list[tuple[ExpectedStart, int]] = []
        self._kept_by_worker: dict[str, Resources] = {}
        self._unserved_by_worker: dict[str, Resources] = {}
        self._next_refresh_ms = 0

    def refresh(
        self,
        state: SchedulerState,
        lost_runs: Iterable[LostRun],
        workers: CandidateWorkers,
        now_ms: int,
    ) -> None:
        """Choose the workers of the tasks that are expected to start."""
        self.unplaced = []
        if now_ms < self._next_refresh_ms:
            return
        self._next_refresh_ms = now_ms + REFRESH_INTERVAL_MS
        self._kept_by_worker = {}
        self._unserved_by_worker = {}
        expected = restarts(state, lost_runs, now_ms)
        for start in sorted(expected.values(), key=_down_since_ms):
            self._keep(start, workers)

    def _keep(self, start: ExpectedStart, workers: CandidateWorkers) -> None:
        step = start.step
        candidates = list(
            islice(_candidates(step, workers), MAX_EXAMINED_WORKERS)
        )
        chosen: Counter[str] = Counter()
        for placed_count in range(start.task_count):
            best = max(
                (
                    candidate
                    for candidate in candidates
                    if step.reservation.fits(self._left(candidate))
                    and not _is_at_limit(step, candidate, chosen)
                ),
                key=lambda candidate: self._left(candidate).cpu_millis,
                default=None,
            )
            if best is None:
                missing_count = start.task_count - placed_count
                self.unplaced.append((start, missing_count))
                return
            worker_id = best.worker.worker_id
            chosen[worker_id] += 1
            kept = self._kept_by_worker.get(worker_id, NO_RESOURCES)
            self._kept_by_worker[worker_id] = kept.plus(step.reservation)

    def leaves_room(self, candidate: Candidate, step: TrackedStep) -> bool:
        """Return whether a service may start here for the first time."""
        if candidate.worker.worker_id not in self._kept_by_worker:
            return True
        count = max(1, free_task_count(candidate, step))
        return step.reservation.times(count).fits(self._left(candidate))

    def is_kept_on(self, worker_id: str) -> bool:
        """Return whether room is kept on a worker."""
        return worker_id in self._kept_by_worker

    def _left(self, candidate: Candidate) -> Resources:
        """Return what neither a service nor a kept task uses of a worker."""
        worker_id = candidate.worker.worker_id
        unserved = self._unserved_by_worker.get(worker_id)
        if unserved is None:
            unserved = room_beside_services(candidate)
            self._unserved_by_worker[worker_id] = unserved
        kept = self._kept_by_worker.get(worker_id, NO_RESOURCES)
        return unserved.minus(kept)


def _down_since_ms(start: ExpectedStart) -> int:
    return start.down_since_ms


def _candidates(
    step: TrackedStep, workers: CandidateWorkers
) -> Iterable[Candidate]:
    if step.job.queue.permit_timing is None:
        return workers.eligible(step)
    return workers.permitted(step)


def _is_at_limit(
    step: TrackedStep, candidate: Candidate, chosen: Counter[str]
) -> bool:
    if not step.spec.max_per_worker:
        return False
    used = sum(run.task.step is step for run in candidate.worker.runs)
    used += chosen[candidate.worker.worker_id]
    return used >= step.spec.max_per_worker


__all__ = ["KeptRoom"]
