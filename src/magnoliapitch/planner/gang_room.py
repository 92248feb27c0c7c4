"""Room that is kept for gangs that do not fit yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import expected_task_count_soon
from magnoliapitch.planner.candidates import most_free_cpu_first
from magnoliapitch.planner.candidates import task_count_beside_services
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.candidates import CandidateWorkers
    from magnoliapitch.planner.tracked import TrackedStep


# Gangs that do not fit yet and for which capacity is reserved. The limit is
# low because each occupies an advisor call most of the time, to renew tickets.
MAX_GANGS_WITH_RESERVED_CAPACITY = 4
# After this time a waiting gang no longer keeps capacity from other steps.
MAX_CAPACITY_RESERVATION_MS = 20_000
# After this time a step may use what is kept, while a part of the workers is
# idle. Until it runs it may need a call to the advisor, or two.
MAX_WAIT_BESIDE_IDLE_MS = 1_000
# Workers are taken for idle while less of their CPU is in use.
IDLE_USED_SHARE = 0.6


class GangRoom:
    """Capacity that is reserved for gangs in a planning round.

    Others have to wait for what is kept while the workers are well used.
    Beside idle workers they do not wait for long: what a gang waits for then
    may come late or never.

    :param begun_ms: when this leader planned its first round. What waited then
        may have waited for any time.
    """

    def __init__(
        self, workers: CandidateWorkers, now_ms: int, begun_ms: int
    ) -> None:
        self._workers = workers
        self._now_ms = now_ms
        self._begun_ms = begun_ms
        self._gang_count = 0
        # What is kept on each worker, by worker id.
        self._kept_by_worker: dict[str, Resources] = {}
        self._is_open = False
        self._is_idle_by_service: dict[str, bool] = {}

    def may_reserve(
        self, step: TrackedStep, candidates: list[Candidate]
    ) -> bool:
        """Return whether capacity is to be reserved for a gang, and count it.

        A gang that has too many tasks for its permitted workers, or waits
        for capacity that long-running services never free, must not keep
        capacity from other steps.

        :param candidates: workers on which it may be placed.
        """
        if self._gang_count >= MAX_GANGS_WITH_RESERVED_CAPACITY:
            return False
        ready_ms = step.ready_ms if step.ready_ms is not None else self._now_ms
        if self._now_ms - ready_ms > MAX_CAPACITY_RESERVATION_MS:
            return False
        fitting_count = sum(
            task_count_beside_services(candidate, step)
            for candidate in candidates
        )
        if fitting_count < step.waiting_count:
            return False
        self._gang_count += 1
        return True

    def reserve(self, step: TrackedStep, candidates: list[Candidate]) -> None:
        """Keep later steps of a round off the room that a gang will need.

        It is kept on as many workers as its waiting tasks should fit on soon,
        and no more of each than these tasks take.
        """
        self.close()
        left_count = step.waiting_count
        for candidate in sorted(candidates, key=most_free_cpu_first):
            if left_count <= 0:
                break
            count = min(left_count, expected_task_count_soon(candidate, step))
            left_count -= count
            needed = step.reservation.times(count)
            self._keep(candidate, _common(candidate.free, needed))

    def admit(self, step: TrackedStep) -> None:
        """Let a step that is placed next use what is kept, or not."""
        may_use = bool(self._kept_by_worker) and self._may_use_kept(step)
        if not may_use:
            self.close()
        elif not self._is_open:
            self._open()

    def close(self) -> None:
        """Keep what is left of the room that steps were let use."""
        if not self._is_open:
            return
        kept_by_worker, self._kept_by_worker = self._kept_by_worker, {}
        for worker_id, kept in kept_by_worker.items():
            candidate = self._workers.candidates_by_id[worker_id]
            self._keep(candidate, _common(candidate.free, kept))
        self._is_open = False

    def _open(self) -> None:
        self._is_open = True
        for worker_id, kept in self._kept_by_worker.items():
            self._workers.candidates_by_id[worker_id].release(kept)

    def _keep(self, candidate: Candidate, amount: Resources) -> None:
        worker_id = candidate.worker.worker_id
        kept = self._kept_by_worker.get(worker_id, NO_RESOURCES)
        self._kept_by_worker[worker_id] = kept.plus(amount)
        candidate.reserve(amount)

    def _may_use_kept(self, step: TrackedStep) -> bool:
        """Return whether a step has nothing running and has waited long."""
        if step.ready_ms is None or step.waiting_count < step.unfinished_count:
            return False
        has_waited = (
            step.ready_ms <= self._begun_ms
            or self._now_ms - step.ready_ms >= MAX_WAIT_BESIDE_IDLE_MS
        )
        return has_waited and self._is_idle(step.job.queue.service)

    def _is_idle(self, service: str) -> bool:
        """Return whether a part of the service's workers is not in use."""
        if service not in self._is_idle_by_service:
            total_millis = 0
            free_millis = 0
            for candidate in self._workers.candidates_by_id.values():
                if candidate.info.service == service:
                    total_millis += candidate.info.capacity.cpu_millis
                    free_millis += max(0, candidate.worker.free.cpu_millis)
            used_millis = total_millis - free_millis
            self._is_idle_by_service[service] = (
                used_millis < IDLE_USED_SHARE * total_millis
            )
        return self._is_idle_by_service[service]


def _common(first: Resources, second: Resources) -> Resources:
    """Return what both quantities have, resource by resource."""
    return Resources(
        *(max(0, min(pair)) for pair in zip(first, second, strict=True))
    )


__all__ = ["MAX_WAIT_BESIDE_IDLE_MS", "GangRoom"]
