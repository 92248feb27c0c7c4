"""Order in which waiting work is started.

1. urgent tasks, then services;
2. the group that has a reserved start, then gangs and batch work whose work
   class is close to starvation;
3. work with deadlines, by latest start;
4. owners by dominant share;
5. work beyond the quota of its entry, which borrows idle quota.
"""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.finder import BULK_CLASSES
from magnoliapitch.decision.finder import MAX_FREED_WORKERS
from magnoliapitch.decision.reclaim import VictimKind


if TYPE_CHECKING:
    from magnoliapitch.decision.allocations import Allocations
    from magnoliapitch.decision.decision_round import DecisionRound
    from magnoliapitch.decision.finder import WorkerFinder
    from magnoliapitch.decision.queue import GroupHeap
    from magnoliapitch.decision.queue import TaskGroup
    from magnoliapitch.decision.queue import TaskQueue
    from magnoliapitch.decision.reclaim import Reclaimer
    from magnoliapitch.decision.start_reservation import (
        StartReservationPlanner,
    )
    from magnoliapitch.decision.worker_state import WorkerState


MAX_SKIPPED_GROUPS = 16
MAX_OWNER_VISITS = 64
MAX_DEADLINE_CREDIT = 48
DEADLINE_CREDIT_PER_OWNER_START = 7
RECLAIM_INTERVAL_MS = 2_000
DEADLINE_GRACE_DIVISOR = 4
PRIORITY_CLASSES = (WorkClass.URGENT, WorkClass.SERVICE)

_Buckets = list[tuple[float, int, "GroupHeap"]]


class Dispatcher:
    """Starts waiting tasks in order, within the limits of a round.

    :param reservation_planner: reserves future starts for work that does not
        fit now; ``None`` if no starts are reserved.
    :param reclaimer: plans evictions for work that does not fit.
    """

    def __init__(
        self,
        allocations: Allocations,
        queue: TaskQueue,
        finder: WorkerFinder,
        reservation_planner: StartReservationPlanner | None,
        reclaimer: Reclaimer,
    ) -> None:
        self._allocations = allocations
        self._queue = queue
        self._finder = finder
        self._reservation_planner = reservation_planner
        self._reclaimer = reclaimer
        self._deadline_credit = MAX_DEADLINE_CREDIT

    def serve(self, decision_round: DecisionRound) -> None:
        """Start all waiting work that fits, in order."""
        decision_round.max_freed_capacity = (
            self._allocations.max_freed_bulk_capacity(MAX_FREED_WORKERS)
        )
        for work_class in PRIORITY_CLASSES:
            decision_round.begin_stage()
            self._serve_priority_class(decision_round, work_class)
        decision_round.begin_stage()
        self._serve_start_reservation(decision_round)
        for work_class in BULK_CLASSES:
            self._serve_near_starvation(decision_round, work_class)
        decision_round.begin_stage()
        self._serve_deadlines(decision_round)
        decision_round.begin_stage()
        beyond_quota = self._serve_owners(decision_round)
        for group in beyond_quota:
            if decision_round.is_full or not decision_round.may_search:
                break
            self._start_all(decision_round, group)

    def start_on(
        self,
        decision_round: DecisionRound,
        group: TaskGroup,
        worker: WorkerState,
    ) -> str:
        """Start a group's next task on a worker; return its attempt id."""
        task = self._queue.dequeue(group)
        now_ms = decision_round.now_ms
        expected_end_ms = now_ms + group.run_ms
        placement = self._allocations.start(
            task, worker, group.size, (now_ms, expected_end_ms)
        )
        if self._reservation_planner is not None:
            self._reservation_planner.charge_start(
                worker, group, expected_end_ms
            )
        group.job.running[task.attempt_id] = None
        self._finder.class_start_times.record_start(task.work_class, now_ms)
        decision_round.placements.append(placement)
        return task.attempt_id

    def _serve_priority_class(
        self, decision_round: DecisionRound, work_class: WorkClass
    ) -> None:
        heap = self._queue.heap_by_class[work_class]
        skipped: list[TaskGroup] = []
        while (
            decision_round.may_search
            and not decision_round.is_full
            and len(skipped) < MAX_SKIPPED_GROUPS
        ):
            group = heap.pop()
            if group is None:
                break
            all_started = self._start_all(decision_round, group)
            if group.tasks_by_id:
                skipped.append(group)
            if not all_started and decision_round.may_evict:
                self._reclaim(decision_round, group, VictimKind.BULK)
        for group in skipped:
            heap.push(group.first_submitted_ms, group)

    def _serve_start_reservation(self, decision_round: DecisionRound) -> None:
        if self._reservation_planner is None:
            return
        self._reservation_planner.expire(decision_round.now_ms)
        reservation = self._reservation_planner.reservation
        if reservation is None or decision_round.is_full:
            return
        if self._start_all(decision_round, reservation.group):
            self._reservation_planner.release()
        elif (
            self._finder.is_near_starvation(decision_round, reservation.group)
            and decision_round.may_evict
        ):
            self._reclaim(decision_round, reservation.group, VictimKind.BULK)

    def _serve_near_starvation(
        self, decision_round: DecisionRound, work_class: WorkClass
    ) -> None:
        heap = self._queue.heap_by_class[work_class]
        group = heap.peek()
        while group is not None and self._finder.is_near_starvation(
            decision_round, group
        ):
            if decision_round.is_full or not self._start_all(
                decision_round, group
            ):
                self._reserve_start(decision_round, group)
                return
            group = heap.peek()

    def _serve_deadlines(self, decision_round: DecisionRound) -> None:
        heap = self._queue.deadline_heap
        skipped: list[TaskGroup] = []
        starts_before = len(decision_round.placements)
        while (
            decision_round.may_search
            and not decision_round.is_full
            and len(skipped) < MAX_SKIPPED_GROUPS
            and len(decision_round.placements) - starts_before
            < self._deadline_credit
        ):
            group = heap.pop()
            if group is None:
                break
            if (
                group.no_worker_pass == decision_round.pass_number
                and not group.size.fits(decision_round.max_freed_capacity)
            ):
                skipped.append(group)
                continue
            self._finder.refresh_estimates(group)
            grace_ms = group.run_ms // DEADLINE_GRACE_DIVISOR
            if group.latest_start_ms() + grace_ms < decision_round.now_ms:
                group.is_late = True
                continue
            if not self._start_all(decision_round, group):
                self._reserve_start(decision_round, group)
                if (
                    self._finder.is_near_deadline(decision_round, group)
                    and decision_round.may_evict
                ):
                    self._reclaim(
                        decision_round,
                        group,
                        VictimKind.BATCH_WITHOUT_DEADLINE,
                    )
            if group.tasks_by_id:
                skipped.append(group)
        for group in skipped:
            heap.push(group.latest_start_ms(), group)
        self._deadline_credit -= len(decision_round.placements) - starts_before

    def _serve_owners(self, decision_round: DecisionRound) -> list[TaskGroup]:
        """Serve owners by dominant share; return groups beyond their quota.

        Each start here earns credit for further starts by deadline, so that
        work with deadlines cannot use all capacity.
        """
        starts_before = len(decision_round.placements)
        beyond_quota: list[TaskGroup] = []
        buckets_by_owner: dict[str, _Buckets] = {}
        capacity_version = self._capacity_version(decision_round)
        owners = [
            (self._share(owner), owner)
            for owner, queue in self._queue.queues_by_owner.items()
            if queue.exhausted_at != capacity_version
        ]
        heapq.heapify(owners)
        visits = 0
        while (
            owners
            and visits < MAX_OWNER_VISITS
            and decision_round.may_search
            and not decision_round.is_full
        ):
            visits += 1
            owner = heapq.heappop(owners)[1]
            buckets = buckets_by_owner.get(owner)
            if buckets is None:
                buckets = self._queue.queues_by_owner[owner].startable_buckets(
                    capacity_version, decision_round.max_freed_capacity
                )
                buckets_by_owner[owner] = buckets
            if not buckets:
                self._queue.queues_by_owner[
                    owner
                ].exhausted_at = capacity_version
                continue
            self._serve_bucket(decision_round, buckets, beyond_quota)
            heapq.heappush(owners, (self._share(owner), owner))
        decision_round.has_unvisited_owners = (
            bool(owners) and visits >= MAX_OWNER_VISITS
        )
        for owner, buckets in buckets_by_owner.items():
            if not buckets and self._queue.queues_by_owner[owner].is_empty():
                del self._queue.queues_by_owner[owner]
        earned = (
            len(decision_round.placements) - starts_before
        ) * DEADLINE_CREDIT_PER_OWNER_START
        if not owners:
            earned += DEADLINE_CREDIT_PER_OWNER_START
        credit = self._deadline_credit + earned
        self._deadline_credit = min(MAX_DEADLINE_CREDIT, credit)
        return beyond_quota

    def _serve_bucket(
        self,
        decision_round: DecisionRound,
        buckets: _Buckets,
        beyond_quota: list[TaskGroup],
    ) -> None:
        """Start one task of the first bucket.

        A bucket whose first group cannot start is left out of this round.
        """
        _, tie_breaker, heap = heapq.heappop(buckets)
        group = heap.peek()
        if group is None:
            return
        self._finder.refresh_estimates(group)
        entry = group.template.entry
        member_count = len(group.tasks_by_id) if group.is_gang else 1
        wanted = group.size.times(member_count)
        if not self._allocations.quota_usage.is_within_quota(entry, wanted):
            group.wait_reason = f"quota of entry {entry}"
            group.skipped_at = self._capacity_version(decision_round)
            beyond_quota.append(group)
            return
        if not self._start(decision_round, group):
            group.skipped_at = self._capacity_version(decision_round)
            self._reserve_start(decision_round, group)
            if decision_round.may_evict and self._reclaimer.has_borrowed():
                self._reclaim(decision_round, group, VictimKind.BORROWED)
            return
        first = heap.peek()
        if first is not None:
            heapq.heappush(buckets, (first.order_key, tie_breaker, heap))

    def _capacity_version(
        self, decision_round: DecisionRound
    ) -> tuple[int, int]:
        """Return the pass number and the counter of freed capacity."""
        return decision_round.pass_number, self._allocations.freed_count

    def _share(self, owner: str) -> float:
        capacity = self._allocations.workers.capacity
        return self._allocations.quota_usage.dominant_share(owner, capacity)

    def _start_all(
        self, decision_round: DecisionRound, group: TaskGroup
    ) -> bool:
        """Start tasks of a group while they fit; return whether all did."""
        while group.tasks_by_id:
            if decision_round.is_full or not self._start(
                decision_round, group
            ):
                return False
        return True

    def _start(self, decision_round: DecisionRound, group: TaskGroup) -> bool:
        """Start the next task of a group or a whole gang; return success."""
        self._finder.refresh_estimates(group)
        if group.is_gang:
            return self._start_gang(decision_round, group)
        worker = self._finder.find_worker(decision_round, group)
        if worker is None:
            return False
        self.start_on(decision_round, group, worker)
        return True

    def _start_gang(
        self, decision_round: DecisionRound, group: TaskGroup
    ) -> bool:
        missing_count = group.template.gang_size - len(group.job.running)
        member_count = len(group.tasks_by_id)
        if member_count < missing_count:
            group.wait_reason = "the rest of the gang is not submitted"
            return False
        total = group.size.times(member_count)
        if not decision_round.may_try_gang or not total.fits(
            self._allocations.free
        ):
            group.wait_reason = "room for the whole gang"
            return False
        decision_round.gang_attempt_count += 1
        workers: list[WorkerState] = []
        for _ in range(member_count):
            worker = self._finder.find_worker(decision_round, group)
            if worker is None:
                break
            self._allocations.workers.allocate(worker, group.size)
            workers.append(worker)
        for worker in workers:
            self._allocations.workers.release(worker, group.size)
        if len(workers) < member_count:
            group.wait_reason = "room for the whole gang"
            return False
        for worker in workers:
            self.start_on(decision_round, group, worker)
        return True

    def _reserve_start(
        self, decision_round: DecisionRound, group: TaskGroup
    ) -> None:
        """Reserve a start for a gang or for work close to starvation."""
        if self._reservation_planner is None or not group.tasks_by_id:
            return
        is_near_starvation = self._finder.is_near_starvation(
            decision_round, group
        )
        if not group.is_gang and not is_near_starvation:
            return
        member_count = len(group.tasks_by_id) if group.is_gang else 1
        if self._reservation_planner.reserve(
            group,
            member_count,
            decision_round.now_ms,
            ignore_cooldown=is_near_starvation,
        ):
            group.wait_reason = "a reserved start"

    def _reclaim(
        self,
        decision_round: DecisionRound,
        group: TaskGroup,
        victim_kind: VictimKind,
    ) -> None:
        """Evict tasks to make room for one task of a group.

        Before it evicts for the next task of the group, it waits so that the
        first evictions can take effect; the more tasks wait, the shorter.
        """
        if decision_round.now_ms < group.next_reclaim_ms:
            return
        evictions = self._reclaimer.plan_for_task(
            group.size, group.template.unit, decision_round.now_ms, victim_kind
        )
        if evictions:
            interval_ms = RECLAIM_INTERVAL_MS // len(group.tasks_by_id)
            group.next_reclaim_ms = decision_round.now_ms + interval_ms
            decision_round.evictions.extend(evictions)
